#!/usr/bin/env bash
# Checks format and static analysis of all project sources. Needs a complete build in build/.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${LINT_JOBS:-$(nproc)}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '/generated/')
clang-format --dry-run --Werror "${sources[@]}"
ninja -C build -t deps > build/deps.txt
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
printf '%s\0' "${units[@]}" | xargs -0 -n 1 -P "$jobs" bash scripts/tidy-one.sh
