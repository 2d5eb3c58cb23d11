#!/bin/sh
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
# Needs the build of the deploy file and review/build-3.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-3/case-$(basename "$folder")
[ -x "$program" ] || exit 2
timeout -k 2 115 "$program" "$folder/record.txt"
code=$?
[ $code -le 2 ] || code=2
exit $code
