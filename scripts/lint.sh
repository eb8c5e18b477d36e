#!/usr/bin/env bash
# Runs clang-tidy over the given or all sources: lint.sh [FILE...]. Files that
# passed are cached by the hash of the file, of all headers and of .clang-tidy,
# so that a later run checks only what changed.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard \
        'src/*.cpp' 'platform/*.cpp' 'tools/*.cpp' | grep -v '/generated/' |
        while read -r f; do [ -e "$f" ] && echo "$f"; done)
fi
[ "${#files[@]}" -gt 0 ] || exit 0

cache="${XDG_CACHE_HOME:-$HOME/.cache}/filberthub-lint"
mkdir -p "$cache"
export cache
export headers_hash
headers_hash=$(cat .clang-tidy $(git ls-files -co --exclude-standard '*.hpp') 2>/dev/null | sha256sum | cut -c1-32)

lint_one() {
    local key
    key=$(printf '%s' "$headers_hash" | cat - "$1" | sha256sum | cut -c1-32)
    [ -e "$cache/$key" ] && return 0
    clang-tidy --quiet -p build/dev "$1" 2>/dev/null || return 1
    touch "$cache/$key"
}
export -f lint_one
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
echo "lint: ${#files[@]} files clean"
