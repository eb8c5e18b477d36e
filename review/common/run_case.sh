#!/usr/bin/env bash
# Runs a case: run_case.sh FOLDER TROUBLE, without the disruption if TROUBLE is
# 0. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run.
set -u
TROUBLE="$2" python3 -B "$1/case.py"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
