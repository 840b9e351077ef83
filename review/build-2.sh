#!/bin/bash
# The stand-ins of cases 6 to 9 are Python: the project's own store
# (tests/edge/stand_ins.py) and those of review/common-2. Nothing has to be compiled;
# this checks that they load. The cases need python3 and target/briarhub-edge, which the
# build of deploy/system.toml makes.
set -e
cd "$(dirname "$0")/common-2"
exec python3 -B -c 'import archive, endpoint, harness'
