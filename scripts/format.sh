#!/usr/bin/env bash
# Formats all sources; with --check only reports the files that differ.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' '*.hpp' |
    grep -v '/generated/' | while read -r f; do [ -e "$f" ] && echo "$f"; done)
[ "${#files[@]}" -gt 0 ] || exit 0
if [ "${1:-}" = --check ]; then
    clang-format --dry-run --Werror "${files[@]}"
    echo "format: ${#files[@]} files clean"
else
    clang-format -i "${files[@]}"
fi
