#!/usr/bin/env bash
# Builds the programs that the scripts of the cases 6 to 8 start beside the daemon of the deploy file, into
# target/review-2/. They use nothing but the standard library and sockets.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
out=../../target/review-2
mkdir -p "$out"
shared=(wire.cpp record.cpp deployment.cpp parts.cpp)
for name in smuggled weights slow_reader; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/case_$name" "case_$name.cpp" "${shared[@]}" &
done
for job in $(jobs -p); do wait "$job"; done
