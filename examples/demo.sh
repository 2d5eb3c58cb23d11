#!/bin/sh
# The product in under a minute: both users' configuration, 3 entries, 10 workers,
# a burst, a worker killed in it, a policy added, and a comparison read out.
set -eu
bin=$1
here=$(dirname "$0")
work=$(mktemp -d)
local_pid=""
finish() {
  [ -z "$local_pid" ] || kill -TERM "$local_pid" 2>/dev/null || true
  [ -z "$local_pid" ] || wait "$local_pid" 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT INT TERM

field() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p" "$work/system.json" | head -1; }

echo "== both users' configuration is checked"
"$bin/cassiaferry-ctl" validate "$here/kalku-cels"
"$bin/cassiaferry-ctl" validate "$here/rift-valley"

echo "== 3 entries and 10 workers start"
"$bin/cassiaferry-local" --entries 3 --workers 10 > "$work/system.json" 2> "$work/local.log" &
local_pid=$!
while [ ! -s "$work/system.json" ]; do
  kill -0 "$local_pid" || { cat "$work/local.log"; exit 1; }
  sleep 0.2
done
CASSIAFERRY_TOKEN=$(field admin_token)
export CASSIAFERRY_TOKEN
# Members of the line come sorted: entries, platform, sidecars, upstreams.
entry=$(grep -o '"http":"[0-9.:]*"' "$work/system.json" | head -1 | cut -d'"' -f4)
victim=$(grep -o '"pid":[0-9]*' "$work/system.json" | sed -n 14p | cut -d: -f2) # 3 entries, a platform, 10th sidecar

echo "== Kaļķu Ceļš's folder is applied, and in force everywhere"
"$bin/cassiaferry-ctl" --entry "$entry" --wait apply "$here/kalku-cels"

echo "== a burst of 60 jobs into steady load; a worker's sidecar ($victim) is killed in it"
( sleep 4; kill -KILL "$victim" ) &
"$bin/cassiaferry-load" --system "$work/system.json" --shape "$here/shapes/kalku-cels.json" \
  --set '{"name":"burst and kill","seconds":8,"load":0.6,"burst_at_s":4,"burst_jobs":60}' || true

echo "== a policy is one added file: a comparison on live traffic"
mkdir "$work/folder"
cp "$here/kalku-cels/"*.json "$work/folder"
cp "$here/comparison.json" "$work/folder/90-comparison.json"
"$bin/cassiaferry-ctl" --entry "$entry" diff "$work/folder"
"$bin/cassiaferry-ctl" --entry "$entry" --wait apply "$work/folder"
"$bin/cassiaferry-load" --system "$work/system.json" --shape "$here/shapes/kalku-cels.json" \
  --set '{"name":"comparison","seconds":8,"load":0.7}' || true

echo "== what the entry says"
"$bin/cassiaferry-ctl" --entry "$entry" status
