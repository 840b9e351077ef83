#!/usr/bin/env bash
# Runs the fault soak of the edge process:
#   scripts/soak.sh [--seeds N] [--minutes M] [--replay SEED] [--first SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
PYTHONDONTWRITEBYTECODE=1 BRIARHUB_BUILD="$PWD/build/release" \
    python3 tests/edge/soak.py "$@"
