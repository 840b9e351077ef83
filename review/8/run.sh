#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
timeout 118 python3 -B case.py &
child=$!
trap 'kill -TERM "$child"' TERM INT
wait "$child"
result=$?
# A signal ends the wait; the case still ends its processes.
while kill -0 "$child" 2>/dev/null; do
    wait "$child"
    result=$?
done
case $result in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
