#!/usr/bin/env bash
# Builds the stand-ins of the cases 12 to 15 into target/review-3/. Needs a compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in crash_case restart_case; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
    "review/standins-3/$program.cpp" review/standins-3/site.cpp -o "target/review-3/$program"
done
