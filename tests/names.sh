#!/bin/sh
# The platform's own names stay in platform/ and deploy/: a field, path or header
# of its pages found elsewhere is a defect. Docs may explain them.
names='fencingToken|lastSeen|deadlineMs|run-start|run-stop|api/hold|api/instances|api/ready|rows-tx|rows-get|rows-feed|expectedRev|setKeys|bestEffort|pathPrefix|maxAttempts|targetLatencyMs|memMb|estimateMs|antiAffinity|callSeq|coldLeftMs|clockMs|X-Cassiaferry|holdMaxMs|resendMs|internalPorts|readyAddr|evacuat'
found=$(git ls-files -co --exclude-standard 'include/*' 'src/*' 'standins/*' 'tests/*' 'examples/*' 'proto/*' 'model/*' |
  grep -v '^tests/names.sh$' | xargs grep -nE "$names" /dev/null)
if [ -n "$found" ]; then
  echo "names: the platform's names outside platform/ and deploy/:"
  echo "$found"
  exit 1
fi
echo "names: clean"
