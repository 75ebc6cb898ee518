#!/usr/bin/env bash
# Installs missing packages, builds, runs the linters, the tests and a soak test of 6 seconds.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install-packages.sh
bash scripts/build.sh
bash scripts/lint.sh
bash scripts/run-tests.sh
build/tests/soak/soak --seed=1 --seconds=6
