#!/usr/bin/env bash
# Builds the programs, runs three control replicas, three entries and four upstreams on loopback, sends
# requests through them, prints the answers and the timeline, and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install-packages.sh
bash scripts/build.sh wagtailpickd wagtailpick standin_upstream
daemon=build/src/app/wagtailpickd/wagtailpickd
tool=build/src/tools/wagtailpick/wagtailpick
upstream=build/tests/standins/standin_upstream
control=127.0.0.1:17101,127.0.0.1:17102,127.0.0.1:17103
entries=127.0.0.1:17501,127.0.0.1:17502,127.0.0.1:17503
admin=127.0.0.1:17201,127.0.0.1:17202,127.0.0.1:17203,127.0.0.1:17401,127.0.0.1:17402,127.0.0.1:17403
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
}
trap stop_all EXIT
rm -rf run
mkdir -p run/control-mvd run/control-pde run/control-col
$tool keygen --out=run/operator
$tool check example/bundle.json
$tool sign example/bundle.json --key=run/operator.key --out=run/bundle.signed
for vm in control-mvd control-pde control-col; do
  $daemon --config=example/$vm.ini --init-group
done
for vm in control-mvd control-pde control-col entry-mvd entry-pde entry-col; do
  $daemon --config=example/$vm.ini &
  pids+=($!)
done
# Retries because the replicas may still be electing a leader.
for _ in $(seq 1 50); do
  if $tool submit run/bundle.signed --control=$control 2> run/submit.err; then submitted=1; break; fi
  sleep 0.2
done
[ "${submitted:-0}" = 1 ] || { cat run/submit.err >&2; exit 1; }
$tool wait 1 --control=$control
port=17601
for place in mvd-1 mvd-2 pde-1; do
  $upstream --address=127.0.0.1:$port --service=listings --place=$place --slots=3 --entries=$entries &
  pids+=($!)
  port=$((port + 1))
done
$upstream --address=127.0.0.1:$port --service=payment --place=mvd-1 --slots=3 --entries=$entries &
pids+=($!)
echo "--- which entries to use"
curl -sS "http://127.0.0.1:17502/v1/lookup?service=listings&address=127.0.0.1"
echo
# Sends a request up to 50 times until it succeeds, because the upstreams may not have announced
# themselves yet; then sends it once more and prints the answer with its headers.
request() {
  for _ in $(seq 1 50); do
    if curl -sS -f -o /dev/null "http://127.0.0.1:17501$1" 2> /dev/null; then break; fi
    sleep 0.2
  done
  curl -sS -i "http://127.0.0.1:17501$1"
  echo
}
echo "--- a request to listings"
request "/s/listings/screenings?day=friday"
echo "--- a payment, sent twice with one key"
request "/s/payment/"
for _ in 1 2; do
  curl -sS -i -H 'Idempotency-Key: example-1' -d 'blanket=7' http://127.0.0.1:17501/s/payment/pay
  echo
done
echo "--- where the bundle stands"
$tool status --control=$control
echo "--- timeline"
$tool timeline --admin=$admin
