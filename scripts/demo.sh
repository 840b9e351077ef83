#!/usr/bin/env bash
# Builds everything, starts a small fleet on loopback and shows it at work.
# Exits with 0 only if each step was observed.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
exec python3 scripts/demo.py "$@"
