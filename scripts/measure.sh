#!/usr/bin/env bash
# Runs the five measures: measure.sh [--deployment NAME] [--seed N].
# Writes results/NAME-N.jsonl and a plot per measure, for both deployments by
# default.
set -euo pipefail
cd "$(dirname "$0")/.."

deployments=(golvkarta meridian)
seed=1
while [ "$#" -gt 0 ]; do
    case "$1" in
    --deployment)
        deployments=("$2")
        shift 2
        ;;
    --seed)
        seed="$2"
        shift 2
        ;;
    *)
        echo "unknown argument \"$1\"; expected --deployment or --seed" >&2
        exit 2
        ;;
    esac
done

cmake --preset dev >/dev/null
cmake --build --preset dev -- --quiet experiment
mkdir -p results
for deployment in "${deployments[@]}"; do
    out="results/$deployment-$seed.jsonl"
    build/dev/experiment measures --deployment "$deployment" --seed "$seed" \
        >"$out"
    python3 scripts/plot_measures.py "$out"
done
