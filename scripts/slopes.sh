#!/usr/bin/env bash
# Measures the processor time, memory and gossip traffic of idle VMs at several fleet sizes, and the processor time per request and
# per batch item. docs/CAPACITY.md uses these figures.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly DIR=tmp/slopes OPERATOR=demo-operator-key KILN=demo-kiln-key
readonly WINDOW=${WINDOW:-15}
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
trap stop_all EXIT

begin() { local name=$1; shift; "$@" >"$DIR/$name.log" 2>&1 & pids+=($!); }
await() { for _ in $(seq 1 200); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done; echo "slopes: $* failed 200 times" >&2; exit 1; }
# ticks PID prints the processor time of a process in clock ticks of 10 ms.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kib() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }

fleet() {
  local n=$1 hash
  rm -rf "$DIR" && mkdir -p "$DIR"
  hash=$(bin/dogwoodledge account hash $OPERATOR)
  begin platform bin/standin platform --listen 127.0.0.1:18000
  await curl -sf http://127.0.0.1:18000/admin/counts
  begin engine-1 bin/standin engine --listen 127.0.0.1:18101 --step 1ms
  begin engine-2 bin/standin engine --listen 127.0.0.1:18102 --step 1ms
  begin booking-1 bin/standin service --listen 127.0.0.1:18103
  vms=()
  for i in $(seq 1 "$n"); do
    cat >"$DIR/vm-$i.yaml" <<EOF
vm: {id: vm-$i, region: syd, availabilityZone: syd-a}
listen: {callers: 127.0.0.1:$((18500 + i)), operators: 127.0.0.1:$((18700 + i)), vms: 127.0.0.1:$((18900 + i))}
platform: {address: 127.0.0.1:18000}
fleet: {key: 6f7267616e69736174696f6e2d64656d6f2d6b6579}
operators: {keyHashes: ["$hash"]}
log: {level: warning}
EOF
    curl -sf http://127.0.0.1:18000/admin/vms -d "{\"id\":\"vm-$i\",\"address\":\"127.0.0.1:$((18900 + i))\",\"region\":\"syd\",\"availabilityZone\":\"syd-a\"}"
    begin "vm-$i" bin/dogwoodledged --settings "$DIR/vm-$i.yaml"
    vms+=("${pids[-1]}")
  done
  for i in $(seq 1 "$n"); do await curl -sf "http://127.0.0.1:$((18500 + i))/healthz"; done
  DOGWOODLEDGE_KEY=$OPERATOR bin/dogwoodledge --operators 127.0.0.1:18701 apply -f examples/demo/declarations \
    --expect 0 --preset ordinary --within 60s >/dev/null
}

idle() {
  local n=$1 before=0 after=0 rss=0 bytes=0
  fleet "$n"
  sleep 10
  for pid in "${vms[@]}"; do before=$((before + $(ticks "$pid"))); done
  local sent; sent=$(metric 1 dogwoodledge_vm_datagrams_bytes)
  sleep "$WINDOW"
  for pid in "${vms[@]}"; do after=$((after + $(ticks "$pid"))); rss=$((rss + $(rss_kib "$pid"))); done
  bytes=$(($(metric 1 dogwoodledge_vm_datagrams_bytes) - sent))
  awk -v n="$n" -v t=$((after - before)) -v w="$WINDOW" -v rss="$rss" -v b="$bytes" 'BEGIN {
    printf "idle vms=%d corePercent=%.3f rssMiB=%.1f gossipBytesPerSecond=%.0f\n", n, t / w / n, rss / n / 1024, b / w }'
}

metric() { curl -sf "http://127.0.0.1:$((18700 + $1))/metrics" | awk -v m="$2" '$1 ~ "^" m {print int($NF); exit}'; }

# request_cost TOKENS measures the processor time, over all VMs, per streamed request of TOKENS tokens.
request_cost() {
  local tokens=$1 n=600 before=0 after=0
  for i in $(seq 1 $n); do
    echo "{\"at\":\"$((i * 25))ms\",\"model\":\"card-writer\",\"prompt\":\"A card for order $i\",\"tokens\":$tokens}"
  done >"$DIR/work.jsonl"
  for pid in "${vms[@]}"; do before=$((before + $(ticks "$pid"))); done
  DOGWOODLEDGE_KEY=demo-counter-key bin/dogwoodledge load "$DIR/work.jsonl" --vm 127.0.0.1:18501,127.0.0.1:18502,127.0.0.1:18503
  for pid in "${vms[@]}"; do after=$((after + $(ticks "$pid"))); done
  awk -v t=$((after - before)) -v n=$n -v k="$tokens" 'BEGIN {printf "request tokens=%d milliCoreSecondsEach=%.3f\n", k, t * 10 / n}'
}

batch_cost() {
  local n=5000 before=0 after=0 id w0 w1
  for i in $(seq 1 $n); do
    echo "{\"custom_id\":\"s-$i\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{\"model\":\"card-writer\",\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"Check sheet $i\"}]}}"
  done >"$DIR/batch.jsonl"
  w0=$(counts)
  for pid in "${vms[@]}"; do before=$((before + $(ticks "$pid"))); done
  id=$(DOGWOODLEDGE_KEY=$KILN bin/dogwoodledge --callers 127.0.0.1:18501 batch submit "$DIR/batch.jsonl" | awk '{print $1}')
  DOGWOODLEDGE_KEY=$KILN bin/dogwoodledge --callers 127.0.0.1:18501 batch wait "$id" --within 10m
  for pid in "${vms[@]}"; do after=$((after + $(ticks "$pid"))); done
  w1=$(counts)
  awk -v t=$((after - before)) -v n=$n 'BEGIN {printf "batch tokens=16 milliCoreSecondsEach=%.3f\n", t * 10 / n}'
  echo "batch items=$n segments=$((n / 500)) platform calls before ($w0) and after ($w1)"
}
counts() { curl -sf http://127.0.0.1:18000/admin/counts; }

if [ "${1:-all}" = all ]; then
  for n in 3 9 18 36; do idle $n; stop_all; done
fi
fleet 3
sleep 3
for tokens in 8 40 80; do request_cost $tokens; done
batch_cost
