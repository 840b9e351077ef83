#!/usr/bin/env bash
# Builds every stand-in that the review's scripts start. All are Python (3.9 or later,
# standard library only), those of tests/edge too, so they are only compiled here.
set -euo pipefail
cd "$(dirname "$0")/.."

python3 - <<'PYTHON'
import glob

files = ["tests/edge/stand_ins.py"] + sorted(glob.glob("review/**/*.py", recursive=True))
for name in files:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
    print(name)
PYTHON
