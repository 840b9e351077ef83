#!/usr/bin/env bash
# Formats the sources; with --check only reports files that differ.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(-i)
if [ "${1:-}" = "--check" ]; then
    mode=(--dry-run --Werror)
fi
find src platform tests -name '*.hpp' -print0 -o -name '*.cpp' -print0 |
    xargs -0 -r clang-format "${mode[@]}"
