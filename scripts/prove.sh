#!/usr/bin/env bash
# Runs the tests of ./prove with programs built under the race detector. Prints a line `pass NAME` or `fail NAME` for each test,
# then the counts.
set -uo pipefail
cd "$(dirname "$0")/.."
mkdir -p tmp
PROVE_RACE=1 go test -count=1 -parallel 4 -v "$@" ./prove >tmp/prove.log 2>&1
status=$?
awk '/^--- PASS:/ {print "pass", $3; p++} /^--- FAIL:/ {print "fail", $3; f++}
  END {printf "%d passed, %d failed\n", p, f; exit !p}' tmp/prove.log || status=1
[ $status -eq 0 ] || grep -v '^=== ' tmp/prove.log | tail -n 100
exit $status
