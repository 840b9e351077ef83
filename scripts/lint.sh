#!/usr/bin/env bash
# Runs clang-tidy on the given sources, or on all of them.
set -euo pipefail
cd "$(dirname "$0")/.."

build=build/release
[ -f "$build/compile_commands.json" ] || cmake --preset release >/dev/null

files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
    mapfile -t files < <(find src platform tests -name '*.cpp' | sort)
fi
# GCC's <coroutine> needs this macro, which clang 14 does not define.
printf '%s\0' "${files[@]}" |
    xargs -0 -r -n 1 -P "$(nproc)" clang-tidy -p "$build" --quiet \
        --extra-arg=-D__cpp_impl_coroutine=201902L \
        --extra-arg=-Wno-unknown-warning-option
