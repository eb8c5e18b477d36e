#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
python3 -B case.py
code=$?
[ -f record.txt ] || code=2
exit "$code"
