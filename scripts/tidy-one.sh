#!/usr/bin/env bash
# Runs clang-tidy on one source; skips it when neither it nor anything it includes changed since it last passed.
set -euo pipefail
source=$1
cache=${XDG_CACHE_HOME:-$HOME/.cache}/wagtailpick-tidy
mkdir -p "$cache"
flags=$(clang-tidy --version | sha256sum | cut -c1-16)
headers=$(git ls-files -z --cached --others --exclude-standard 'src/*.h' 'tests/*.h' .clang-tidy | sort -z | xargs -0 cat 2>/dev/null | sha256sum | cut -c1-64)
key=$(printf '%s' "$flags $headers $source $(sha256sum < "$source")" | sha256sum | cut -c1-64)
[ -e "$cache/$key" ] && exit 0
log=$(mktemp)
if clang-tidy -quiet -p build "$source" > "$log" 2>/dev/null; then
  touch "$cache/$key"
  rm -f "$log"
  exit 0
fi
cat "$log"
rm -f "$log"
echo "clang-tidy failed: $source" >&2
exit 1
