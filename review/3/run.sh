#!/bin/sh
# Plays case 3; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/bin/cassiaferry-review-case 3 review/3/record.txt
