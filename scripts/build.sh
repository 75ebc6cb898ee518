#!/usr/bin/env bash
# Configures and builds everything into build/. Arguments are passed to the build tool as targets.
set -euo pipefail
cd "$(dirname "$0")/.."
# Lets work trees at different paths share one compiler cache.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=pch_defines,time_macros
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCMAKE_CXX_FLAGS="-ffile-prefix-map=$PWD=." > build.log 2>&1 \
  || { cat build.log >&2; rm -f build.log; exit 1; }
rm -f build.log
cmake --build build --target "${@:-all}"
