#!/bin/sh
# Plays case 1; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/bin/cassiaferry-review-case 1 review/1/record.txt
