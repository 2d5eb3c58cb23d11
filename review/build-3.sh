#!/bin/sh
# Builds what the scripts of review/9 to review/13 start beside the programs of
# the deploy file. Their store, workers and clients are review/world-3/world.py,
# which needs python3 and no more, so there is nothing to compile: this checks
# that it can run.
set -eu
cd "$(dirname "$0")/.."
test -x target/bin/cassiaferry-entry
test -x target/bin/cassiaferry-sidecar
python3 -c 'import ast, sys; ast.parse(open("review/world-3/world.py").read())'
