#!/bin/sh
# Model-checks the specifications, and that the removal of each guard is caught.
set -eu
cd "$(dirname "$0")"
mkdir -p out

# verdict FILE [MACRO...]: prints "holds", "violated" or "incomplete"
verdict() {
  file=$1
  shift
  dir="out/$file-$(echo "${*:-base}" | tr ' ' '-')"
  mkdir -p "$dir"
  (
    cd "$dir"
    flags=""
    for macro in "$@"; do flags="$flags -D$macro"; done
    # shellcheck disable=SC2086
    spin $flags -a "../../$file.pml" > spin.log 2>&1 || { echo "incomplete"; exit 0; }
    cc -O2 -w -DSAFETY -DMEMLIM=4096 -DCOLLAPSE -o pan pan.c > cc.log 2>&1 || { echo "incomplete"; exit 0; }
    ./pan -m200000 -n > pan.log 2>&1 || true
    if grep -q 'assertion violated' pan.log; then echo "violated"
    elif grep -q 'errors: 0' pan.log && ! grep -Eq 'max search depth too small|out of memory|interrupted' pan.log; then echo "holds"
    else echo "incomplete"; fi
  )
}

failed=0
passed=0
# expect VERDICT FILE [MACRO...]
expect() {
  wanted=$1
  shift
  got=$(verdict "$@")
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$(echo "out/$1-$(shift; echo "${*:-base}")" | tr ' ' '-')/pan.log" 2>/dev/null | head -1)
  if [ "$got" = "$wanted" ]; then passed=$((passed + 1)); mark=ok; else failed=$((failed + 1)); mark=FAILED; fi
  echo "model: $*: $got (${states:-no} states), expected $wanted: $mark"
}

expect holds dispatch
expect holds dispatch REPEAT
for m in NO_FENCE NO_REJECT_EPOCH NO_MEMORY_TOKEN NO_RECONCILE NO_DRAIN_GATE; do expect violated dispatch $m; done
expect violated dispatch REPEAT NO_DEDUP
expect holds claims
for m in NO_OWNER_QUERY NO_VERSION ABSENT_IS_WON FORGET_STARTED CRASHED_IS_FREE; do expect violated claims $m; done
expect holds leases
for m in NO_OWNER_LEASE NO_ECHO NO_START_EXPIRY NO_LEASE NO_CANCEL ACTS_UNREAD RENEWS_UNREAD END_OVERTAKES_REQUEST FROM_STAMP TRUSTS_NOTICE STARTS_EXTEND; do expect violated leases $m; done
# Assumptions of the bound: each holds up to its limit and fails one step beyond.
expect violated leases NET=3
expect holds leases NET=0 PAUSE=2
expect violated leases NET=0 PAUSE=3
expect violated leases END_NEVER_COMES
expect holds leases END_NEVER_COMES DEADLINE=2 READ_WITHIN=0
expect violated leases END_NEVER_COMES DEADLINE=3 READ_WITHIN=0
expect holds leases END_NEVER_COMES DEADLINE=4 LEAVES_AT=4 READ_WITHIN=2
expect violated leases END_NEVER_COMES DEADLINE=4 LEAVES_AT=4 READ_WITHIN=3
expect holds journal
for m in NO_CHAIN CONFIRM_EARLY HEARS_LAST SCAN_FIRST ACK_EARLY NO_ABANDON NO_EXPIRY ACK_UNKNOWN; do expect violated journal $m; done
expect holds attempts
for m in BY_ARRIVAL SET_NOT_STORED ACK_UNSTORED LATE_NOT_EXPIRED; do expect violated attempts $m; done
expect holds closed_domains
for m in LAST_ARRIVAL_WINS NO_READ_VERSION KEEPS_OLD_VERSION NO_GATE NO_RELAY; do expect violated closed_domains $m; done
expect holds neighbours
for m in SIDECAR_CLOSES CLOSES_WITH_OPEN ONLY_NEIGHBOURS; do expect violated neighbours $m; done
expect holds worker_record
for m in NO_CONDITION NO_START_TIME COUNTS_IMMEDIATELY KEEPS_RECORD; do expect violated worker_record $m; done
echo "model: $passed as expected, $failed not"
[ "$failed" = 0 ]
