#!/usr/bin/env bash
# Measures the latency that a daemon adds to streamed responses, and its processor time and memory.
# The columns of the printed table, in milliseconds:
#   direct      a load sent directly to a stand-in engine
#   concurrent  a tenth of that load, sent directly to the engine while the full load runs through the
#               daemon, so that both see the same load of the engine and the machine
#   daemon      the full load through the daemon
#   added       daemon minus concurrent
# Their reports are straight-RATE.json, beside-RATE.json and through-RATE.json.
# Usage: scripts/measure-relay.sh [SECONDS]   (from the root, after `make build`; default 20)
set -eu
source scripts/measure-lib.sh

readonly seconds=${1:-20}
readonly tokens=205 # per response

# run_load RATE ADDRESS SEED sends a load to an address and prints its report.
run_load() {
  bin/standin load --rate "$1" --address "$2" --seed "$3" --tokens "$tokens" --duration "${seconds}s" \
    --keys relay-key-1,relay-key-2,relay-key-3 --in-flight 8192 --models m
}

# clock_ticks PID prints the processor time of a process in clock ticks, 100 per second.
clock_ticks() { awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"; }

start_all examples/measure/relay-note.yaml --batch 8192 --token-every 25ms
for rate in 19 190; do
  run_load "$rate" 127.0.0.1:17401 1 >"$run_dir/straight-$rate.json"
  ticks_before=$(clock_ticks "$daemon_pid")
  started_ns=$(date +%s%N)
  run_load "$(awk "BEGIN { print $rate / 10 }")" 127.0.0.1:17401 2 >"$run_dir/beside-$rate.json" &
  concurrent_pid=$!
  run_load "$rate" 127.0.0.1:18401 1 >"$run_dir/through-$rate.json"
  ended_ns=$(date +%s%N)
  ticks_after=$(clock_ticks "$daemon_pid")
  wait "$concurrent_pid"
  daemon_report=$run_dir/through-$rate.json
  echo "== $rate requests/s of $tokens tokens for $seconds s (milliseconds)"
  printf '%-18s %10s %10s %10s %10s\n' metric direct concurrent daemon added
  for metric in FirstToken BetweenTokens; do
    for quantile in P50 P95 P99; do
      direct=$(report_number "$run_dir/straight-$rate.json" $metric $quantile)
      concurrent=$(report_number "$run_dir/beside-$rate.json" $metric $quantile)
      through_daemon=$(report_number "$daemon_report" $metric $quantile)
      printf '%-18s %10s %10s %10s %10s\n' "$metric $quantile" "$direct" "$concurrent" "$through_daemon" "$(awk "BEGIN { printf \"%.3f\", $through_daemon - $concurrent }")"
    done
  done
  echo "completed $(report_number "$daemon_report" Completed Completed) of $(report_number "$daemon_report" Offered Offered); $(report_object "$daemon_report" Refused) $(report_object "$daemon_report" Failed)"
  echo "daemon: $(awk "BEGIN { printf \"%.2f\", ($ticks_after - $ticks_before) / 100 / (($ended_ns - $started_ns) / 1e9) }") cores, $(awk '/VmHWM/ { print $2 / 1024 " MiB at most" }' "/proc/$daemon_pid/status")"
done
uptime
stop_daemon
