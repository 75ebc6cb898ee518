#!/usr/bin/env bash
# Measures the data path on loopback with wrk: requests directly to an upstream stand-in for comparison,
# through the entry that owns the upstreams and through another entry, and lookups at one entry with
# two HTTP threads (the default).
# Usage: measure-path.sh [SECONDS]
set -euo pipefail
source "$(dirname "$0")/deployment.sh"
seconds=${1:-5}
make_settings 0 1
start_all
start_upstreams listings 3 0 18601 mvd-2 mvd-2 mvd-2 mvd-2
until curl -sf -o /dev/null http://127.0.0.1:18511/s/listings/; do sleep 0.2; done
sleep 35  # Slow start: all slots are usable after 30 s without errors at the latest.
load() { wrk -t1 -c"$1" -d"${seconds}s" --latency "$2" | awk '/50%|99%|Requests\/sec|Non-2xx/ { printf "%s ", $0 } END { print "" }' | tr -s ' '; }
for round in 1 2 3 4 5; do
  echo "direct, 1 connection:    $(load 1 http://127.0.0.1:18601/)"
  echo "one entry, 1 connection: $(load 1 http://127.0.0.1:18511/s/listings/)"
  echo "other entry, 1 connection: $(load 1 http://127.0.0.1:18521/s/listings/)"
  echo "one entry, 8 connections: $(load 8 http://127.0.0.1:18511/s/listings/)"
  echo "lookups, 32 connections: $(load 32 'http://127.0.0.1:18511/v1/lookup?service=listings&address=127.0.0.1')"
done
