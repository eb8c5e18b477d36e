#!/usr/bin/env bash
# Memory and descriptors of `filberthub route` under clients that hold as much as
# they can: memory.sh [CASE...]. Runs all cases one after the other without
# arguments. Exit code 0 means that all bounds held.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 -B scripts/memory/main.py "$@"
