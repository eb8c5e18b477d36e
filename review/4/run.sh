#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
export TROUBLE="${TROUBLE:-1}"
exec bash "$folder/../common/run_case.sh" "$folder" "$TROUBLE"
