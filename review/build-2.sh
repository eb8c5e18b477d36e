#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python scripts, those of
# the soak too, so that there is nothing to compile: it is checked that they can
# be read by the interpreter.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'PY'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed, as for scripts/soak")
paths = [pathlib.Path("scripts/soak") / name for name in ("http1.py", "store.py")]
paths += sorted(pathlib.Path("review/common-2").glob("*.py"))
paths += [path for number in range(6, 11)
          for path in sorted(pathlib.Path(f"review/{number}").glob("*.py"))]
for path in paths:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
print(f"{len(paths)} stand-ins and scripts can be run")
PY
