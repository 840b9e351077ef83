#!/usr/bin/env bash
# Measures the policy against its baselines and the cost of the fleet.
# Usage: scripts/measure.sh [--out DIR] [--quick] [--seed N]
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
exec python3 scripts/measure.py "$@"
