#!/usr/bin/env bash
# Configures the project and builds it. Arguments are targets; the default is all. SANITIZER=thread
# and SANITIZER=address build with that sanitizer in build-tsan/ and build-asan/, else in build/.
set -euo pipefail
cd "$(dirname "$0")/.."
sanitizer=${SANITIZER:-}
case "$sanitizer" in
  "") folder=build ;;
  thread) folder=build-tsan ;;
  address) folder=build-asan ;;
  *) echo "SANITIZER must be thread or address, not '$sanitizer'" >&2; exit 2 ;;
esac
# Lets checkouts at different paths share a compiler cache.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=pch_defines,time_macros
cmake -S . -B "$folder" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCMAKE_CXX_FLAGS="-ffile-prefix-map=$PWD=." \
  -DWAGTAILPICK_SANITIZER="$sanitizer" -DWAGTAILPICK_WARNINGS_AS_ERRORS=ON > "$folder.log" 2>&1 \
  || { cat "$folder.log" >&2; rm -f "$folder.log"; exit 1; }
rm -f "$folder.log"
cmake --build "$folder" --target "${@:-all}"
