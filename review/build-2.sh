#!/usr/bin/env bash
# Builds every stand-in that review/4 to review/8 start. These are written in
# Python (review/lib-2, standard library only) and have nothing to be compiled;
# this checks that the interpreter reads them. The project's own stand-ins are
# not started.
set -eu
cd "$(dirname "$0")"
python3 - lib-2/*.py [4-8]/*.py <<'PY'
import ast, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path) as f:
        ast.parse(f.read(), path)
    print("read", path)
PY
