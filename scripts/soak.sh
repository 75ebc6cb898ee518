#!/usr/bin/env bash
# Runs the fault soak: the seeds of tests/soak/seeds.txt, then FRESH (default 1) more from FIRST
# (default: drawn now). Needs a complete build in build/. Exit code 1 when a promise was broken.
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
