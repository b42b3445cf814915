#!/usr/bin/env bash
# Measures goodput at 1, 2 and 5 times the capacity of one engine behind one daemon, and how overload
# by one tenant changes the time to first token of another. The engine runs 16 requests of 20 tokens
# concurrently, each in 0.525 s, which gives a capacity of 30 requests/s. A response counts as good if
# its first token arrives within the deadline of its class, 20 s.
# Usage: scripts/measure-overload.sh [SECONDS]   (from the root, after `make build`; default 40)
set -eu
source scripts/measure-lib.sh

readonly seconds=${1:-40}
readonly capacity=30 # requests/s

# run_load RATE KEYS SEED sends a load through the daemon and prints its report.
run_load() {
  bin/standin load --rate "$1" --address 127.0.0.1:18401 --seed "$3" --tokens 20 --duration "${seconds}s" \
    --keys "$2" --in-flight 8192 --models m --good-first-token 20s
}

start_all examples/measure/overload-note.yaml --batch 16 --waiting 16 --token-every 25ms
for multiple in 1 2 5; do
  report=$run_dir/overload-$multiple.json
  run_load $((capacity * multiple)) relay-key-1,relay-key-2,relay-key-3 "$multiple" >"$report"
  echo "== $multiple times the capacity, $((capacity * multiple)) requests/s for $seconds s"
  echo "offered $(report_number "$report" Offered Offered), good $(report_number "$report" Good Good), $(report_number "$report" GoodPerSecond GoodPerSecond) per second"
  echo "first token p50 $(report_number "$report" FirstToken P50) ms, p99 $(report_number "$report" FirstToken P99) ms"
  echo "refusal p50 $(report_number "$report" Refusal P50) ms, p99 $(report_number "$report" Refusal P99) ms; $(report_object "$report" Refused) $(report_object "$report" Failed)"
done

for divisor in 10 3; do
  rate=$((capacity / divisor))
  echo "== tenant 1 at $rate requests/s (1/$divisor of the capacity): alone, then while tenant 2 sends $((capacity * 5)) requests/s"
  run_load "$rate" relay-key-1 7 >"$run_dir/alone.json"
  run_load $((capacity * 5)) relay-key-2 8 >"$run_dir/flood.json" &
  flood_pid=$!
  run_load "$rate" relay-key-1 7 >"$run_dir/flooded.json"
  for load_case in alone flooded; do
    echo "$load_case: first token p50 $(report_number "$run_dir/$load_case.json" FirstToken P50) ms, p95 $(report_number "$run_dir/$load_case.json" FirstToken P95) ms, p99 $(report_number "$run_dir/$load_case.json" FirstToken P99) ms, completed $(report_number "$run_dir/$load_case.json" Completed Completed) of $(report_number "$run_dir/$load_case.json" Offered Offered); $(report_object "$run_dir/$load_case.json" Refused)"
  done
  wait "$flood_pid"
done
uptime
stop_daemon
