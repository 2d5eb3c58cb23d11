#!/bin/sh
# Plays case 2; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/bin/cassiaferry-review-case 2 review/2/record.txt
