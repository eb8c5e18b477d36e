#!/usr/bin/env bash
# Configures and builds one preset of CMakePresets.json: build.sh [PRESET].
set -euo pipefail
cd "$(dirname "$0")/.."

# Lets the compiler cache share objects between worktrees.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1

preset="${1:-dev}"
cmake --preset "$preset" >"/tmp/filberthub-configure-$$.log" 2>&1 || {
    cat "/tmp/filberthub-configure-$$.log"
    exit 1
}
rm -f "/tmp/filberthub-configure-$$.log"
cmake --build --preset "$preset" -- --quiet
