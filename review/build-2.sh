#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python and use the standard library alone.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of the deploy file first" >&2; exit 1; }
.venv/bin/python - review <<'PY'
import pathlib, sys
for path in [*sorted(pathlib.Path("review").glob("*_2.py")), *sorted(pathlib.Path("review").glob("*/case.py"))]:
    compile(path.read_text(), str(path), "exec")
PY
