#!/bin/sh
# Checks that the stand-ins and the cases compile; they need the standard library alone.
set -e
cd "$(dirname "$0")"
for file in standins.py */case.py; do
    ../.venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
