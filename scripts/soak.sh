#!/usr/bin/env bash
# Randomized soak of `filberthub route` against stand-ins, with faults from
# outside: soak.sh [--seed S] [--seeds N] [--minutes M] [--regressions]. Without
# options it runs one seed. Exit code 0 means that all promises held.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "$#" -gt 0 ] || set -- --seed 1
exec python3 -B scripts/soak/main.py "$@"
