#!/usr/bin/env bash
# Regenerates src/libs/rpc/generated from the protocol file.
# Needs the packages protobuf-compiler and protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "$0")/../src/libs/rpc"
mkdir -p generated
protoc --cpp_out=generated --grpc_out=generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" wagtailpick.proto
