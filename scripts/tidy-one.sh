#!/usr/bin/env bash
# Runs clang-tidy on a source file. Skips it if the file, the project files that it includes,
# .clang-tidy and the version of clang-tidy are the same as in a run that passed. Needs
# build/deps.txt, which lint.sh writes.
set -euo pipefail
source=$1
cache=${XDG_CACHE_HOME:-$HOME/.cache}/wagtailpick-tidy
mkdir -p "$cache"
# Each entry of the build's dependency log lists a source first, then all files that it includes.
includes=$(awk -v source="/$source" '
  /: #deps/ { wanted = 0; first = 1; next }
  NF == 0 { next }
  first { first = 0; wanted = (substr($1, length($1) - length(source) + 1) == source) }
  wanted && $1 !~ /^\/usr\// { print $1 }' build/deps.txt | sort -u)
key=$( (echo "$source"; clang-tidy --version; cat .clang-tidy; cd build; echo "$includes" | xargs cat) | sha256sum | cut -c1-64)
[ -n "$includes" ] && [ -e "$cache/$key" ] && exit 0
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
