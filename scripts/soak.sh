#!/usr/bin/env bash
# Runs the fault injection soak test with the seeds of tests/soak/seeds.txt, then with FRESH (default
# 1) further seeds that start at FIRST (default: random). Needs a complete build in build/. The exit
# code is 1 if a run fails, for instance because a promise was broken.
set -uo pipefail
cd "$(dirname "$0")/.."
status=0
while read -r seed _; do
  [[ "$seed" =~ ^[0-9]+$ ]] || continue
  build/tests/soak/soak --seed="$seed" || status=1
done < tests/soak/seeds.txt
first=${FIRST:-$((RANDOM * 32768 + RANDOM))}
build/tests/soak/soak --seed="$first" --count="${FRESH:-1}" || status=1
exit $status
