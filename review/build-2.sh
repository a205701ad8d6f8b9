#!/bin/sh
# Compiles the stand-ins of the second review's scripts, the project's own too. Run it
# after the build of the deploy file, which makes target/python and target/deps.
set -eu
cd "$(dirname "$0")/.."
[ -x target/python ] || { echo "run deploy/build.sh first" >&2; exit 2; }
PYTHONPATH=target/deps target/python -c 'import click, curio, h11'
target/python -m compileall -q standins review/mesh_2.py $(ls -d review/[6-9] review/10 2>/dev/null) ||
    { echo "compilation failed" >&2; exit 2; }
