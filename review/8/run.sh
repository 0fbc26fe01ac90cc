#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "could not run: no build"; exit 2; }
exec timeout -k 2 115 ../../.venv/bin/python case.py
