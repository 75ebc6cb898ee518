#!/usr/bin/env bash
# Measures the control plane with three replicas and nine entries on loopback and a simulated one-way
# delay between regions: time from the acceptance of a change until it is in force on every entry,
# leader failover, and catch-up of an entry after 500 missed changes.
# Usage: measure-control.sh DELAY_MS [CHANGES]
set -euo pipefail
source "$(dirname "$0")/deployment.sh"
delay=${1:?one-way delay in ms}
changes=${2:-60}
make_settings "$delay" 3
start_all
for version in $(seq 2 $((changes + 1))); do submit_version "$version" > /dev/null; done
"$tool" wait $((changes + 1)) --control="$control" 2> /dev/null
echo "in force after acceptance, ms ($delay ms one way, 9 entries, $changes changes):"
events | awk '
  $3 == "bundle_accepted" && !($4 in accepted) { accepted[$4] = $1 }
  $3 == "bundle_in_force" && $4 > 1 && ($4 in accepted) { printf "%d\n", $1 - accepted[$4] }' | percentiles

paused=entry-col-1
version=$((changes + 1))
kill -STOP "${pid_of[$paused]}"
for _ in $(seq 1 500); do version=$((version + 1)); submit_version "$version" > /dev/null; done
resumed=$(date +%s%3N)
kill -CONT "${pid_of[$paused]}"
"$tool" wait "$version" --control="$control" 2> /dev/null
echo "catch-up of one entry after 500 missed changes, ms:"
events | awk -v v="$version" -v vm="$paused" -v start="$resumed" \
  '$2 == vm && $3 == "bundle_in_force" && $4 == v { printf "%d\n", $1 - start }'

echo "failover, ms from SIGKILL of the leader to the election of the next, and to the next acceptance:"
for round in 1 2 3 4 5; do
  leader=$(events | awk '$3 == "leader_elected" { name = $2 } END { print name }')
  killed=$(date +%s%3N)
  kill -9 "${pid_of[$leader]}"
  version=$((version + 1))
  until submit_version "$version" > /dev/null 2>&1; do sleep 0.02; done
  accepted=$(date +%s%3N)
  elected=$(events | awk -v start="$killed" '$3 == "leader_elected" && $1 > start { printf "%d", $1 - start; exit }')
  echo "$elected $((accepted - killed))"
  start_node "$leader"
  sleep 3
done
echo "timeline events lost: $(grep -c dropped <(events) || true)"
