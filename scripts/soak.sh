#!/usr/bin/env bash
# Randomized soak of `filberthub route` against a simulated store and simulated
# backend servers, with injected faults: soak.sh [--seed S] [--seeds N]
# [--minutes M] [--regressions] [--only FAULT...] [--scarce-connections]. Runs
# seed 1 without options. Exit code 0 means that all guarantees held, except for
# seeds that KNOWN-RED.txt lists.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "$#" -gt 0 ] || set -- --seed 1
exec python3 -B scripts/soak/main.py "$@"
