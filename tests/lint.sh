#!/bin/sh
# Runs clang-tidy over every source file of ours, several at once. A file whose
# preprocessed inputs have not changed since it was last clean is skipped.
set -eu
stamps="$BUILD/lint"
mkdir -p "$stamps"
inputs=$(git ls-files '*.h' '.clang-tidy' | xargs cat | cksum | cut -d' ' -f1)
check() {
  stamp="$stamps/$(echo "$1" | tr / _).$(cksum < "$1" | cut -d' ' -f1).$inputs"
  [ -e "$stamp" ] && exit 0
  clang-tidy --quiet -p "$BUILD" --warnings-as-errors='*' "$1" > "$stamp.log" 2>&1 || { grep -E 'error|warning:' "$stamp.log" | cut -c1-400; exit 1; }
  touch "$stamp"
}
if [ "${1:-}" ]; then check "$1"; exit 0; fi
git ls-files '*.cc' ':!src/gen' | xargs -P "$JOBS" -n 1 sh "$0" && echo "lint: clean"
