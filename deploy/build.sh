#!/bin/sh
# Installs the dependencies, links the interpreter and compiles the package.
#
# The distribution's interpreter is built with profile-guided optimisation and runs the
# node in about three quarters of the time; where it is missing or of another version,
# the interpreter of the PATH is used. Modules are compiled here, since a node cannot
# write next to them and would otherwise compile all of them at each start.
set -eu

if ! [ target/deps/curio -nt pyproject.toml ]; then
    python3 -m pip install -q -U --target target/deps .
    rm -rf target/deps/guavagap
    touch target/deps/curio
fi

interpreter=/usr/bin/python3.11
if ! [ -x "$interpreter" ]; then
    interpreter=$(python3 -c 'import sys; print(sys.executable)')
fi
ln -sfn "$interpreter" target/python
target/python -m compileall -q guavagap
