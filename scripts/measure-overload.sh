#!/usr/bin/env bash
# Measures goodput at 1, 2 and 5 times the capacity of one engine behind one daemon, and what a
# flooding tenant does to the first tokens of another. The engine runs 16 requests of 20 tokens
# at once, each in 0.525 s: 30 requests a second. An answer is good if its first token comes
# within the deadline of its class, 20 s.
# Usage: scripts/measure-overload.sh [SECONDS]   (from the root, after `make build`; default 40)
set -eu
source scripts/measure-lib.sh

readonly seconds=${1:-40}
readonly capacity=30

# load RATE KEY SEED prints the report of one load through the daemon.
load() {
  bin/standin load --rate "$1" --address 127.0.0.1:18401 --seed "$3" --tokens 20 --duration "${seconds}s" \
    --keys "$2" --in-flight 8192 --models m --good-first-token 20s
}

start examples/measure/overload-note.yaml --batch 16 --waiting 16 --token-every 25ms
for times in 1 2 5; do
  report=$run/overload-$times.json
  load $((capacity * times)) relay-key-1,relay-key-2,relay-key-3 "$times" >"$report"
  echo "== $times times the capacity, $((capacity * times)) requests/s for $seconds s"
  echo "offered $(field "$report" Offered Offered), good $(field "$report" Good Good), $(field "$report" GoodPerSecond GoodPerSecond) a second"
  echo "first token p50 $(field "$report" FirstToken P50) ms, p99 $(field "$report" FirstToken P99) ms"
  echo "refusal p50 $(field "$report" Refusal P50) ms, p99 $(field "$report" Refusal P99) ms; $(object "$report" Refused) $(object "$report" Failed)"
done

for part in 10 3; do
  light=$((capacity / part))
  echo "== tenant 1 at $light requests/s (1/$part of the capacity): alone, then beside tenant 2 at $((capacity * 5))"
  load "$light" relay-key-1 7 >"$run/alone.json"
  load $((capacity * 5)) relay-key-2 8 >"$run/flood.json" &
  flood=$!
  load "$light" relay-key-1 7 >"$run/flooded.json"
  for what in alone flooded; do
    echo "$what: first token p50 $(field "$run/$what.json" FirstToken P50) ms, p95 $(field "$run/$what.json" FirstToken P95) ms, p99 $(field "$run/$what.json" FirstToken P99) ms, completed $(field "$run/$what.json" Completed Completed) of $(field "$run/$what.json" Offered Offered); $(object "$run/$what.json" Refused)"
  done
  wait "$flood"
done
uptime
finish
