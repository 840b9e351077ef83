#!/usr/bin/env bash
# Installs what is missing and builds a preset (default: release).
set -euo pipefail
cd "$(dirname "$0")/.."

preset="${1:-release}"

# Lets checkouts in different directories share the compiler cache.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
scripts/install.sh
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
