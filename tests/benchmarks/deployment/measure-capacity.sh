#!/usr/bin/env bash
# Measures the cost of the control plane for a node without other load: CPU time, memory and bytes sent
# by the control leader and by an entry, for 3, 6, 12 and 24 entries, with one change per second.
# Usage: measure-capacity.sh [SECONDS]
set -euo pipefail
seconds=${1:-10}
here=$(dirname "$0")
if [ -z "${CAPACITY_PER_REGION:-}" ]; then
  echo "entries leader_cpu_percent leader_rss_mb leader_bytes_s entry_cpu_percent entry_rss_mb entry_bytes_s"
  for per_region in 1 2 4 8; do CAPACITY_PER_REGION=$per_region bash "$here/measure-capacity.sh" "$seconds"; done
  exit 0
fi
source "$here/deployment.sh"
make_settings 0 "$CAPACITY_PER_REGION"
start_all
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident_mb() { awk '/VmRSS/ { printf "%d", $2 / 1024 }' "/proc/$1/status"; }
sent() { curl -s "http://$1/metrics" | awk '$1 == "wagtailpick_rpc_sent_bytes" { print $2 }'; }
sleep 2
leader=$(events | awk '$3 == "leader_elected" { name = $2 } END { print name }')
leader_admin=$(awk '/admin_address/ { print $3 }' "$folder/$leader.ini")
entry_admin=127.0.0.1:18411
leader_pid=${pid_of[$leader]}
entry_pid=${pid_of[entry-mvd-1]}
start_ticks=($(ticks "$leader_pid") $(ticks "$entry_pid"))
start_bytes=($(sent "$leader_admin") $(sent "$entry_admin"))
for version in $(seq 2 $((seconds + 1))); do
  submit_version "$version" > /dev/null
  sleep 1
done
end_ticks=($(ticks "$leader_pid") $(ticks "$entry_pid"))
end_bytes=($(sent "$leader_admin") $(sent "$entry_admin"))
awk -v n=$((CAPACITY_PER_REGION * 3)) -v s="$seconds" -v hz="$(getconf CLK_TCK)" \
  -v lt=$((end_ticks[0] - start_ticks[0])) -v et=$((end_ticks[1] - start_ticks[1])) \
  -v lb=$((end_bytes[0] - start_bytes[0])) -v eb=$((end_bytes[1] - start_bytes[1])) \
  -v lm="$(resident_mb "$leader_pid")" -v em="$(resident_mb "$entry_pid")" \
  'BEGIN { printf "%d %.2f %d %d %.2f %d %d\n", n, 100 * lt / hz / s, lm, lb / s, 100 * et / hz / s, em, eb / s }'
