#!/usr/bin/env bash
# Measures what a daemon adds to streamed answers: the same load goes straight to a stand-in
# engine, then through a daemon while a tenth of it goes straight at the same time.
# Prints the reports, the added times, and processor time and memory of the daemon.
# Usage: scripts/measure-relay.sh [SECONDS]   (from the root, after `make build`; default 20)
set -eu

readonly seconds=${1:-20}
readonly tokens=205
readonly run=try/relay

cleanup() {
  local pid
  for pid in $(jobs -p); do
    kill -KILL "$pid" 2>/dev/null || true
  done
}
trap cleanup EXIT

until_true() {
  local tries=300
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || { echo "FAILED: $*"; exit 1; }
    sleep 0.1
  done
}

# load RATE ADDRESS SEED prints the report of one load.
load() {
  bin/standin load --rate "$1" --address "$2" --seed "$3" --tokens "$tokens" --duration "${seconds}s" \
    --keys relay-key-1,relay-key-2,relay-key-3 --in-flight 8192 --models m
}

# field FILE OBJECT KEY prints one number of a report, or of an object in it.
field() {
  awk -v object="\"$2\"" -v key="\"$3\"" 'index($1, object) == 1 { inside = 1 } inside && index($1, key) == 1 { sub(/,$/, "", $2); print $2; exit }' "$1"
}

# clock_ticks PID prints the processor time of a process in ticks of a hundredth of a second.
clock_ticks() { awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"; }

mkdir -p "$run"
bin/standin platform --listen 127.0.0.1:17400 >"$run/platform.log" 2>&1 &
bin/standin engine --listen 127.0.0.1:17401 --name engine-1 --checks-fencing --batch 8192 --token-every 25ms >"$run/engine.log" 2>&1 &
until_true curl -sf 127.0.0.1:17400/counts
bin/bronzestall serve --settings examples/measure/relay.yaml >"$run/daemon.log" 2>&1 &
daemon=$!
until_true curl -sf 127.0.0.1:18401/health/live
bin/bronzestall note apply --settings examples/measure/relay.yaml --by measure examples/measure/relay-note.yaml
until_true curl -sf -H 'Authorization: Bearer relay-key-1' -H 'Content-Type: application/json' \
  -d '{"model":"m","max_tokens":1,"messages":[]}' 127.0.0.1:18401/v1/chat/completions

for rate in 19 190; do
  load "$rate" 127.0.0.1:17401 1 >"$run/straight-$rate.json"
  before=$(clock_ticks "$daemon")
  started=$(date +%s%N)
  load "$(awk "BEGIN { print $rate / 10 }")" 127.0.0.1:17401 2 >"$run/beside-$rate.json" &
  beside=$!
  load "$rate" 127.0.0.1:18401 1 >"$run/through-$rate.json"
  ended=$(date +%s%N)
  after=$(clock_ticks "$daemon")
  wait "$beside"
  echo "== $rate requests/s of $tokens tokens for $seconds s (milliseconds)"
  printf '%-16s %10s %10s %10s %10s\n' what straight beside through added
  for what in FirstToken BetweenTokens; do
    for quantile in P50 P95 P99; do
      a=$(field "$run/straight-$rate.json" $what $quantile)
      b=$(field "$run/beside-$rate.json" $what $quantile)
      c=$(field "$run/through-$rate.json" $what $quantile)
      printf '%-16s %10s %10s %10s %10s\n' "$what $quantile" "$a" "$b" "$c" "$(awk "BEGIN { printf \"%.3f\", $c - $b }")"
    done
  done
  echo "tokens: $(field "$run/through-$rate.json" Tokens Tokens), completed: $(field "$run/through-$rate.json" Completed Completed) of $(field "$run/through-$rate.json" Offered Offered)"
  awk '/"Refused"/, /}/' "$run/through-$rate.json"
  awk '/"Failed"/, /}/' "$run/through-$rate.json"
  echo "daemon: $(awk "BEGIN { printf \"%.2f\", ($after - $before) / 100 / (($ended - $started) / 1e9) }") cores, $(awk '/VmHWM/ { print $2 / 1024 " MiB at most" }' "/proc/$daemon/status")"
done

kill -TERM "$daemon"
wait "$daemon" || echo "the daemon ended with status $?"
