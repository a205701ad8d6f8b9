#!/bin/sh
# Installs the dependencies, links the interpreter and compiles the package.
#
# The distribution's interpreter is built with profile-guided optimisation; where it is
# missing, the interpreter of the PATH is used. Dependencies that were built for another
# kind of machine are installed again. Modules are compiled here, since a node cannot
# write next to them and would otherwise compile all of them at each start.
set -eu

interpreter=/usr/bin/python3.11
if ! [ -x "$interpreter" ]; then
    interpreter=$(python3 -c 'import sys; print(sys.executable)')
fi

can_import_dependencies() {
    PYTHONPATH=target/deps "$interpreter" -c 'import capnp, pydantic_core' 2>/dev/null
}

if ! [ target/deps/curio -nt pyproject.toml ] || ! can_import_dependencies; then
    rm -rf target/deps
    python3 -m pip install -q -U --target target/deps .
    rm -rf target/deps/guavagap
    touch target/deps/curio
fi

ln -sfn "$interpreter" target/python
target/python -m compileall -q guavagap
