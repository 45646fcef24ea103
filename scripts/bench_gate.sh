#!/usr/bin/env bash
# Runs the bench and fails if a figure misses its bound, unless KNOWN-RED.txt lists this figure.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p tmp
go run ./cmd/bench >tmp/bench.txt 2>/dev/null || true
cat tmp/bench.txt
tail -n 1 tmp/bench.txt | grep -q 'passed' || { echo "bench: ended early"; exit 1; }
new=0
while read -r scenario measure _; do
  if ! grep -qF "bench $scenario $measure " KNOWN-RED.txt 2>/dev/null; then
    echo "bench: $scenario $measure fails and is not known red"
    new=1
  fi
done < <(grep ' fail$' tmp/bench.txt || true)
exit $new
