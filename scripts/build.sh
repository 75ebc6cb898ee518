#!/usr/bin/env bash
# Configures the project and builds it in build/. Arguments are targets; the default is all.
set -euo pipefail
cd "$(dirname "$0")/.."
# Lets checkouts at different paths share a compiler cache.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=pch_defines,time_macros
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCMAKE_CXX_FLAGS="-ffile-prefix-map=$PWD=." \
  -DWAGTAILPICK_WARNINGS_AS_ERRORS=ON > build.log 2>&1 \
  || { cat build.log >&2; rm -f build.log; exit 1; }
rm -f build.log
cmake --build build --target "${@:-all}"
