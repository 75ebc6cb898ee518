# Functions that run a deployment of three regions on loopback: make_settings, start_all, stop_all,
# start_upstreams, submit_version, events, percentiles. The measurement scripts in this folder source
# this file.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../../.." && pwd)
daemon=$root/build/src/app/wagtailpickd/wagtailpickd
tool=$root/build/src/tools/wagtailpick/wagtailpick
upstream=$root/build/tests/standins/standin_upstream
regions=(mvd pde col)
folder=$(mktemp -d)
declare -A pid_of
control=127.0.0.1:18101,127.0.0.1:18102,127.0.0.1:18103
admin=
entries=
stop_all() {
  for name in "${!pid_of[@]}"; do kill -9 "${pid_of[$name]}" 2> /dev/null || true; done
  wait 2> /dev/null || true
  rm -rf "$folder"
}
trap stop_all EXIT

# write_node NAME REGION CENTRE ROLE RPC ADMIN HTTP DELAYS: writes the INI file of one node. RPC, ADMIN
# and HTTP are its addresses; HTTP is empty for a control replica.
write_node() {
  {
    printf '[node]\nname = %s\nregion = %s\ndata_centre = %s\nroles = %s\n' "$1" "$2" "$3" "$4"
    printf 'rpc_address = %s\nadmin_address = %s\nlog_file = %s/%s.log\ntimeline_events = 100000\n' "$5" "$6" "$folder" "$1"
    if [ "$4" = control ]; then
      printf '[control]\ndata_folder = %s/%s\noperator_keys = %s/operator.pub\n' "$folder" "$1" "$folder"
    else
      printf '[entry]\nhttp_address = %s\n' "$7"
    fi
    printf '[peers]\ncontrol = %s\n' "$control"
    [ -z "$8" ] || printf 'simulated_delays = %s\n' "$8"
  } > "$folder/$1.ini"
}

# make_settings DELAY_MS ENTRIES_PER_REGION: writes the INI files of all nodes and the operator's keys.
make_settings() {
  local delay=$1 per_region=$2 r other e centre delays port=0
  "$tool" keygen --out="$folder/operator" > /dev/null
  for r in 0 1 2; do
    delays=
    for other in 0 1 2; do
      [ "$r" = "$other" ] && continue
      delays+="127.0.0.1:1810$((other + 1))=$delay,"
      # A line of the settings may have at most 198 bytes, so delays to entries are set only for up to
      # 3 entries per region.
      [ "$per_region" -gt 3 ] && continue
      for e in $(seq 1 "$per_region"); do delays+="127.0.0.1:183$((other + 1))$e=$delay,"; done
    done
    mkdir -p "$folder/control-${regions[$r]}"
    write_node "control-${regions[$r]}" "${regions[$r]}" "${regions[$r]}-1" control "127.0.0.1:1810$((r + 1))" "127.0.0.1:1820$((r + 1))" "" "$delays"
    admin+="127.0.0.1:1820$((r + 1)),"
    for e in $(seq 1 "$per_region"); do
      centre=${regions[$r]}-$((e % 2 + 1))
      write_node "entry-${regions[$r]}-$e" "${regions[$r]}" "$centre" entry "127.0.0.1:183$((r + 1))$e" "127.0.0.1:184$((r + 1))$e" "127.0.0.1:185$((r + 1))$e" "$delays"
      admin+="127.0.0.1:184$((r + 1))$e,"
      entries+="127.0.0.1:185$((r + 1))$e,"
    done
  done
}

start_node() {
  "$daemon" --config="$folder/$1.ini" > "$folder/$1.out" 2>&1 &
  pid_of[$1]=$!
}

# start_all: initialises the control group, starts every node, submits version 1 until it is accepted
# and runs `wagtailpick wait` for it.
start_all() {
  local r file name
  for r in "${regions[@]}"; do "$daemon" --config="$folder/control-$r.ini" --init-group; done
  for file in "$folder"/*.ini; do
    name=$(basename "$file" .ini)
    start_node "$name"
  done
  until submit_version 1 > /dev/null 2>&1; do sleep 0.2; done
  "$tool" wait 1 --control="$control" 2> /dev/null
}

# submit_version N: signs the example bundle as version N and submits it.
submit_version() {
  sed "s/\"version\": 1,/\"version\": $1,/" "$root/example/bundle.json" > "$folder/bundle.json"
  "$tool" sign "$folder/bundle.json" --key="$folder/operator.key" --out="$folder/bundle.signed" > /dev/null
  "$tool" submit "$folder/bundle.signed" --control="$control"
}

# start_upstreams SERVICE SLOTS WORK_MS PORT PLACE...: starts one stand-in for each place, on ports from
# PORT.
start_upstreams() {
  local service=$1 slots=$2 work=$3 port=$4 place
  shift 4
  for place in "$@"; do
    "$upstream" --address=127.0.0.1:$port --service="$service" --place="$place" --slots="$slots" --entries="${entries%,}" --work-ms="$work" > /dev/null 2>&1 &
    pid_of[upstream-$port]=$!
    port=$((port + 1))
  done
}

# events: the merged timeline of all daemons that answer.
events() { "$tool" timeline --admin="${admin%,}" 2> /dev/null || true; }

# percentiles: reads one number per line and prints their count, p50, p99 and maximum.
percentiles() {
  sort -n | awk '{ v[NR] = $1 } END { if (NR) printf "n=%d p50=%s p99=%s max=%s\n", NR, v[int((NR - 1) * 0.50) + 1], v[int((NR - 1) * 0.99) + 1], v[NR] }'
}
