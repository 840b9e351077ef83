#!/usr/bin/env bash
# Prepares the stand-ins of the scripts of this review. They are Python modules, those of
# `tests/edge/` among them, so there is nothing to compile: this checks that each one loads.
set -euo pipefail
cd "$(dirname "$0")/.."

PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=tests/edge:review/common-3 \
    python3 -c 'import fleet, stand_ins, harness'
