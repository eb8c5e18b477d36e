#!/usr/bin/env bash
# Builds the program in a clean copy of the last commit with the build line of
# deploy/system.toml, as the users' platform does.
set -euo pipefail
cd "$(dirname "$0")/.."

line=$(python3 -c 'import tomllib
print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
git archive HEAD | tar xf - -C "$folder"

# Lets the compiler cache reuse objects of the same sources.
export CCACHE_BASEDIR="$folder" CCACHE_NOHASHDIR=1
(cd "$folder" && bash -c "$line") >"$folder/build.log" 2>&1 || {
    tail -n 40 "$folder/build.log"
    echo "deploy: the build command of deploy/system.toml failed"
    exit 1
}
"$folder/target/filberthub" version >/dev/null
echo "deploy: the build command of deploy/system.toml succeeded"
