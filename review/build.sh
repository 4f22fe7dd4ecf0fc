#!/bin/sh
# The stand-ins are Python files of this folder and need the standard library alone; this compiles them.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
