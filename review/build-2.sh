#!/usr/bin/env bash
# Builds every stand-in that review/4 to review/8 and the extra cases start.
# Those in C++ (a case.cc each, with lib-3/kit.h or lib-2/rig.cc) go into
# target/review-2 and need the deploy file's packages alone. Those in Python
# (review/lib-2/world.py, standard library only) are checked for being readable,
# last, as the others don't need it. The project's own stand-ins are not started.
set -eu
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
for source in */case.cc; do
  name=$(dirname "$source")
  rig=lib-2/rig.cc
  if grep -q 'lib-3/kit.h' "$source"; then
    rig=
  fi
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" $rig -o "$out/case-$name"
  echo "built case-$name"
done
# No case needs these.
python3 - lib-2/*.py extra-*/*.py <<'PY' || echo "extra-label, -streams and -zone can't run here"
import ast, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path) as f:
        ast.parse(f.read(), path)
    print("read", path)
PY
