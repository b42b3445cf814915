#!/usr/bin/env bash
# Runs four daemons as processes while callers send chats and confirmations, and breaks things:
# a daemon is killed, one is frozen and thawed, one is stopped and started; the platform goes
# away, loses answers and is slow; an engine crashes, connections go silent, a service cuts
# calls. Exits 0 only if every request was answered in the end, every answer was right, and no
# confirmation ran twice or ran after "not run".
# Run it from the root of the repository after `make build`. Takes about a minute.
set -u
source scripts/lib.sh

at() {
  echo "$SECONDS s: $*"
}

start_all
SECONDS=0
bin/standin callers --daemons 127.0.0.1:18101,127.0.0.1:18102,127.0.0.1:18103,127.0.0.1:18104 \
  --services "${desks[0]},${desks[1]}" --key try-key-drivers --duration 48s --rate 20 --tokens 100 >"$run/callers.json" &
callers=$!
sleep 6
at "kill entry-1"
kill -KILL "${daemons[1]}"
wait "${daemons[1]}" 2>/dev/null
sleep 3
at "start entry-1"
start_daemon 1
sleep 3
at "freeze entry-2"
kill -STOP "${daemons[2]}"
sleep 5
at "thaw entry-2"
kill -CONT "${daemons[2]}"
sleep 2
at "platform away for 5 s"
faults 127.0.0.1:17000 '{"Unavailable":true}'
sleep 5
at "platform back, losing the answers to 10 writes, slow"
faults 127.0.0.1:17000 '{"LoseAnswers":10,"SlowMilliseconds":100}'
sleep 3
faults 127.0.0.1:17000 '{}'
at "engine-1 and engine-2 crash"
curl -sf -m 2 -X POST "http://${engines[0]}/crash"
curl -sf -m 2 -X POST "http://${engines[1]}/crash"
sleep 6
at "connections of all engines, order desks and the platform go silent"
for silent in "${engines[@]}" "${desks[@]}" 127.0.0.1:17000; do
  curl -sf -m 2 -X POST "http://$silent/silence"
done
sleep 3
at "the order desks cut calls before and after they run"
for desk in "${desks[@]}"; do
  faults "$desk" '{"CutBefore":3,"CutAfter":3}'
done
sleep 2
at "stop entry-3"
stop_daemon 3
at "start entry-3"
start_daemon 3
wait "$callers" || fail "the callers ended with status $?"
at "the callers are done"
cat "$run/callers.json"

# number KEY prints the sum of a number in the callers' report, or zero.
number() { awk -v key="\"$1\":" '$1 == key { sub(/,$/, "", $2); sum += $2 } END { print sum + 0 }' "$run/callers.json"; }
for broken in RanTwice AnsweredWithoutRun FalseNotRun; do
  [ "$(number "$broken")" = 0 ] || fail "$broken: $(number "$broken")"
done
grep -q '"Wrong"' "$run/callers.json" && fail "an answer was wrong"
chats=$(awk '/"Chats"/, /}/' "$run/callers.json" | grep -c -e NotRun -e MayHaveRun -e Lost)
[ "$chats" = 0 ] || fail "chats were not answered in the end"
calls=$(awk '/"Calls"/, /}/' "$run/callers.json" | grep -c -e '"NotRun"' -e Lost)
[ "$calls" = 0 ] || fail "calls had no answer in the end"
overcommitted=$(count '"OvercommitAttempts":[0-9]*' "${engines[@]}")
[ "$overcommitted" = 0 ] || fail "$overcommitted orders did not fit"
grep -h InvariantBroken "$run"/entry-*.log && fail "an invariant was broken"
stop_all
