#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export BRIARHUB_BUILD=target PYTHONDONTWRITEBYTECODE=1
exec python3 review/13/case.py
