#!/usr/bin/env bash
# The stand-ins of the cases are Python programs, those of scripts/soak among
# them, and need no build. Checks that this Python can run them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for folder in ("review", "scripts/soak"):
    for path in sorted(pathlib.Path(folder).rglob("*.py")):
        compile(path.read_text(), str(path), "exec")
PYTHON
