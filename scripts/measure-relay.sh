#!/usr/bin/env bash
# Measures what a daemon adds to streamed answers: the same load goes straight to a stand-in
# engine, then through a daemon while a tenth of it goes straight at the same time.
# Prints the added times, and processor time and memory of the daemon.
# Usage: scripts/measure-relay.sh [SECONDS]   (from the root, after `make build`; default 20)
set -eu
source scripts/measure-lib.sh

readonly seconds=${1:-20}
readonly tokens=205

# load RATE ADDRESS SEED prints the report of one load.
load() {
  bin/standin load --rate "$1" --address "$2" --seed "$3" --tokens "$tokens" --duration "${seconds}s" \
    --keys relay-key-1,relay-key-2,relay-key-3 --in-flight 8192 --models m
}

# clock_ticks PID prints the processor time of a process in ticks of a hundredth of a second.
clock_ticks() { awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"; }

start examples/measure/relay-note.yaml --batch 8192 --token-every 25ms
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
  through=$run/through-$rate.json
  echo "== $rate requests/s of $tokens tokens for $seconds s (milliseconds)"
  printf '%-18s %10s %10s %10s %10s\n' what straight beside through added
  for what in FirstToken BetweenTokens; do
    for quantile in P50 P95 P99; do
      a=$(field "$run/straight-$rate.json" $what $quantile)
      b=$(field "$run/beside-$rate.json" $what $quantile)
      c=$(field "$through" $what $quantile)
      printf '%-18s %10s %10s %10s %10s\n' "$what $quantile" "$a" "$b" "$c" "$(awk "BEGIN { printf \"%.3f\", $c - $b }")"
    done
  done
  echo "completed $(field "$through" Completed Completed) of $(field "$through" Offered Offered); $(object "$through" Refused) $(object "$through" Failed)"
  echo "daemon: $(awk "BEGIN { printf \"%.2f\", ($after - $before) / 100 / (($ended - $started) / 1e9) }") cores, $(awk '/VmHWM/ { print $2 / 1024 " MiB at most" }' "/proc/$daemon/status")"
done
uptime
finish
