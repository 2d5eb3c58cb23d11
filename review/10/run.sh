#!/bin/sh
# Case 10. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
# Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case-10 ] || exit 2
exec target/review-3/case-10 review/10/record.txt
