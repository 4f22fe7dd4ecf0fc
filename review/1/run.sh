#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
# What was sent, answered and run is written to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
rm -f review/1/record.txt
exec .venv/bin/python review/1/case.py  # writes review/1/record.txt
