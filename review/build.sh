#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/build/. Needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in standins/*.cpp; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -c "$source" -o "build/$(basename "$source" .cpp).o" &
done
wait
for source in [1-5]/*.cpp; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra "$source" build/*.o -o "build/$(basename "$source" .cpp)" -pthread &
done
wait
