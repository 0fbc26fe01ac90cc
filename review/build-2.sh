#!/bin/sh
# Builds the stand-ins of the second review. They are Python files that need the standard library
# alone, so this only checks that they, and the project's own program, can be loaded by what the
# `build` command of deploy/balancer.toml has made.
set -e
cd "$(dirname "$0")/.."
for file in review/standins_2.py review/6/case.py review/7/case.py review/8/case.py; do
    .venv/bin/python -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
.venv/bin/python -c "import gullyoke.daemon.serve"
