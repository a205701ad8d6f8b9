#!/bin/sh
# Builds the stand-ins that the scripts start; run after the build of the deploy file.
set -eu
cd "$(dirname -- "$0")/.."
if ! [ -x target/python ] || ! [ -d target/deps ]; then
    echo "review/build.sh: target/ is missing; run deploy/build.sh first" >&2
    exit 1
fi
target/python -m compileall -q standins review
PYTHONPATH=target/deps target/python -c 'import standins.platform_server'
