#!/usr/bin/env bash
# Installs what is missing, builds with warnings as errors, checks format and
# lint, and runs all tests. Exit code 0 means that all of it passed.
set -euo pipefail
cd "$(dirname "$0")/.."

bash scripts/install.sh
bash scripts/build.sh dev
bash scripts/format.sh --check
bash scripts/lint.sh
# Four tests at once: timed tests with real processes need idle cores.
ctest --preset dev -j 4 --output-on-failure
bash scripts/prove.sh --short
python3 -B test/soak/checks_test.py
bash scripts/soak.sh --seed 1 --regressions
bash scripts/check_deploy.sh
