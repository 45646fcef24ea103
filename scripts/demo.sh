#!/usr/bin/env bash
# Runs online requests, a batch, a booking and a planned stop on real processes and prints the result of each step. Exits non-zero
# at the first step that fails.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly OPERATOR=demo-operator-key COUNTER=demo-counter-key KILN=demo-kiln-key
readonly DIR=tmp/demo
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait || true
}
trap stop_all EXIT

fail() { echo "demo: FAILED: $*" >&2; tail -n 5 "$DIR"/*.log >&2 || true; exit 1; }
say() { printf '%s  %s\n' "$(date -u +%H:%M:%S.%3N)" "$*"; }

# begin NAME COMMAND... starts a process with its log in $DIR/NAME.log and appends its id to pids.
begin() {
  local name=$1; shift
  "$@" >"$DIR/$name.log" 2>&1 &
  pids+=($!)
}

# await WHAT COMMAND... runs the command every 0.1 s until it succeeds, 150 times at most.
await() {
  local what=$1; shift
  for _ in $(seq 1 150); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
  fail "$what: condition not met after 150 attempts (about 15 s)"
}

header() { tr -d '\r' <"$1" | awk -F': ' -v name="$2" 'tolower($1) == tolower(name) {print $2}'; }
ops() { DOGWOODLEDGE_KEY=$OPERATOR bin/dogwoodledge --operators 127.0.0.1:18301 "$@"; }
kiln() { DOGWOODLEDGE_KEY=$KILN bin/dogwoodledge --callers "$1" "${@:2}"; }

rm -rf "$DIR" && mkdir -p "$DIR"

say "starting the stand-ins and three VMs"
begin platform bin/standin platform --listen 127.0.0.1:18000
await platform curl -sf http://127.0.0.1:18000/admin/counts
begin engine-1 bin/standin engine --listen 127.0.0.1:18101
begin engine-2 bin/standin engine --listen 127.0.0.1:18102
begin booking-1 bin/standin service --listen 127.0.0.1:18103
i=1
for vm in a1:syd:syd-a b1:syd:syd-b c1:norr:norr-a; do
  IFS=: read -r name region zone <<<"$vm"
  curl -sf http://127.0.0.1:18000/admin/vms -d "{\"id\":\"vm-$name\",\"address\":\"127.0.0.1:1840$i\",\"region\":\"$region\",\"availabilityZone\":\"$zone\"}"
  begin "vm-$name" bin/dogwoodledged --settings "examples/demo/settings/vm-$name.yaml"
  await "vm-$name" curl -sf "http://127.0.0.1:1820$i/healthz"
  i=$((i + 1))
done

say "applying the declarations"
ops apply -f examples/demo/declarations --expect 0 --preset ordinary | tail -n 3
for i in 1 2 3; do await "VM $i ready" curl -sf "http://127.0.0.1:1820$i/readyz"; done

say "one online request, streamed"
curl -sN -D "$DIR/chat.header" http://127.0.0.1:18202/v1/chat/completions \
  -H "Authorization: Bearer $COUNTER" -H 'Content-Type: application/json' \
  -d '{"model":"card-writer","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"A card for a spruce wreath"}]}' >"$DIR/chat.sse"
grep -q '^data: \[DONE\]' "$DIR/chat.sse" || fail "the stream has no end marker"
[ "$(grep -c '"finish_reason"' "$DIR/chat.sse")" -eq 12 ] || fail "the stream does not have 12 tokens"
say "  request $(header "$DIR/chat.header" X-Request-Id) on $(header "$DIR/chat.header" Dogwoodledge-VM): 12 tokens and the end marker"

say "one batch of 60 items"
for n in $(seq 1 60); do
  echo "{\"custom_id\":\"sheet-$n\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{\"model\":\"card-writer\",\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"Check charge sheet $n\"}]}}"
done >"$DIR/batch.jsonl"
batch=$(kiln 127.0.0.1:18201 batch submit "$DIR/batch.jsonl" --window 1h | awk '{print $1}')
again=$(kiln 127.0.0.1:18203 batch submit "$DIR/batch.jsonl" --window 1h | awk '{print $1}')
[ "$batch" = "$again" ] || fail "the same file submitted again gave another batch: $batch and $again"
say "  sent twice, through two VMs: $batch both times"
say "  $(kiln 127.0.0.1:18202 batch wait "$batch" --within 60s)"
kiln 127.0.0.1:18203 batch output "$batch" >"$DIR/output.jsonl"
ids=$(grep -o '"custom_id":"[^"]*"' "$DIR/output.jsonl" | sort -u | wc -l)
[ "$ids" -eq 60 ] && [ "$(wc -l <"$DIR/output.jsonl")" -eq 60 ] || fail "the batch returned $ids distinct items, want each of 60 exactly once"
say "  60 results, each once, read through another VM"

say "one booking, sent three times"
for vm in 1 2 3; do
  curl -s -o "$DIR/booking.$vm" -D "$DIR/booking.header" "http://127.0.0.1:1820$vm/services/booking/bookings" \
    -H "Authorization: Bearer $KILN" -H 'Idempotency-Key: kiln-3-friday' -d 'kiln 3, Friday 06:00'
  say "  $(header "$DIR/booking.header" Dogwoodledge-VM) answered $(cat "$DIR/booking.$vm")"
done
cmp -s "$DIR/booking.1" "$DIR/booking.2" && cmp -s "$DIR/booking.1" "$DIR/booking.3" || fail "the answers differ"
ledger=$(curl -sf http://127.0.0.1:18103/admin/ledger)
[ "$ledger" = '{"kiln 3, Friday 06:00":1}' ] || fail "the service did not run the booking exactly once: $ledger"
say "  the service ran it once"

say "switching the preset"
ops preset use peak

say "planned stop of vm-b1 while a stream runs"
curl -sN http://127.0.0.1:18202/v1/chat/completions -H "Authorization: Bearer $COUNTER" \
  -d '{"model":"card-writer","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"A long text"}]}' >"$DIR/long.sse" &
stream=$!
await "the long stream" grep -q '^data:' "$DIR/long.sse"
kill -TERM "${pids[5]}"
wait "$stream" || fail "the connection of the stream broke during the planned stop"
grep -q '^data: \[DONE\]' "$DIR/long.sse" || fail "the stream was truncated by the planned stop"
wait "${pids[5]}" || fail "vm-b1 did not stop cleanly"
say "  the stream ran to its end, then the VM left"

[ "$(cat "$DIR"/spans-*.json | grep -c '"Name":"endpoint chat"')" -gt 0 ] || say "  (spans are written at the VMs' end)"
say "demo: every step was right"
