#!/usr/bin/env bash
# Installs what is missing, builds, checks style, runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install-packages.sh
bash scripts/build.sh
bash scripts/lint.sh
bash scripts/run-tests.sh
build/tests/soak/soak --seed=1 --seconds=6
