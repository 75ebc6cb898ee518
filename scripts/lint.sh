#!/usr/bin/env bash
# Runs clang-format and clang-tidy on all project sources except generated ones. Needs a complete
# build in build/. LINT_JOBS sets the number of parallel jobs (default: all processors).
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${LINT_JOBS:-$(nproc)}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '/generated/')
clang-format --dry-run --Werror "${sources[@]}"
ninja -C build -t deps > build/deps.txt
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
printf '%s\0' "${units[@]}" | xargs -0 -n 1 -P "$jobs" bash scripts/tidy-one.sh
