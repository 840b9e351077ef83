#!/usr/bin/env bash
# Regenerates the committed protobuf sources.
set -euo pipefail
cd "$(dirname "$0")/../src"
protoc --cpp_out=. peer.proto gossip.proto
