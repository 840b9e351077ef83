#!/usr/bin/env bash
# Installs the build and test dependencies from Debian's packages.
set -euo pipefail

packages=(
    g++ cmake make ninja-build ccache clang-format clang-tidy clang-tools
    libboost1.81-dev libboost-json1.81-dev libboost-system1.81-dev
    libnghttp2-dev libssl-dev zlib1g-dev libcxxopts-dev libspdlog-dev libfmt-dev
    doctest-dev libprotobuf-dev protobuf-compiler gnuplot-nox
    python3 curl
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'ok installed'; then
        missing+=("$package")
    fi
done

if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends \
    "${missing[@]}"
