#!/usr/bin/env bash
# Runs all test programs and prints the totals as "N passed, N failed".
# A test listed in KNOWN-RED.txt ("red: SUITE::TEST" lines) is run and printed but not counted.
set -uo pipefail
cd "$(dirname "$0")/.."
passed=0
failed=0
for program in build/tests/test_*; do
  [ -x "$program" ] || continue
  name=$(basename "$program")
  log="build/$name.log"
  jobs=4
  # Each test of this program starts a complete cluster; several at once would overload the machine.
  [ "$name" = test_processes ] && jobs=1
  "$program" --tap --jobs "$jobs" > "$log" 2> "$log.err"
  status=$?
  ok=0
  bad=0
  known_red=0
  while IFS= read -r line; do
    case "$line" in
      "ok "*) ok=$((ok + 1)) ;;
      "not ok "*)
        test_name=$(printf '%s\n' "$line" | sed -E 's/^not ok - ([A-Za-z0-9_]+::[A-Za-z0-9_]+).*/\1/')
        if grep -qx "red: $test_name" KNOWN-RED.txt 2>/dev/null; then
          echo "known red: $test_name"
          known_red=$((known_red + 1))
        else
          bad=$((bad + 1))
        fi ;;
    esac
  done < "$log"
  # Exit code 1 only says that tests failed. With any other code the program itself has ended early.
  if [ $status -gt 1 ]; then
    echo "$name: ended with exit code $status"
    bad=$((bad + 1))
  elif [ $status -ne 0 ] && [ $((bad + known_red)) -eq 0 ]; then
    bad=1
  fi
  if [ $ok -eq 0 ] && [ $bad -eq 0 ]; then
    echo "$name: ran no test"
    bad=1
  fi
  echo "$name: $ok passed, $bad failed"
  if [ $bad -gt 0 ]; then grep -v '^ok' "$log"; tail -n 60 "$log.err"; fi
  passed=$((passed + ok))
  failed=$((failed + bad))
done
echo "$passed passed, $failed failed"
[ $failed -eq 0 ] && [ $passed -gt 0 ]
