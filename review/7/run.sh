#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
daemon=target/src/app/wagtailpick_edge/wagtailpick_edge
program=target/review-2/case_weights
[ -x "$daemon" ] && [ -x "$program" ] || { echo "not built: $daemon or $program" >&2; exit 2; }
timeout --signal=KILL 118 "$program" "$daemon" "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
