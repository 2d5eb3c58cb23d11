#!/bin/sh
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-extra-channels ] || exit 2
exec target/review-2/case-extra-channels review/extra-channels/record.txt
