#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and up start. They are Python
# files of this folder and of scripts/soak, so that nothing has to be compiled;
# this checks that each can be parsed. The program under test is that of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'PYTHON'
import ast
import pathlib

for place in ("scripts/soak/*.py", "review/common-3/*.py", "review/1[1-5]/*.py"):
    for path in sorted(pathlib.Path(".").glob(place)):
        ast.parse(path.read_text(), str(path))
PYTHON
echo "review/build-3.sh: the stand-ins can be parsed"
