#!/usr/bin/env bash
# Fault-injection test: runs four daemons as processes under a load of chats and confirmations while
# a daemon is killed and restarted, one is suspended and resumed, and one is stopped and restarted; the
# platform is unavailable, loses responses and is slow; two engines crash; connections stall; and the
# services close connections before and after running a call. Exits with 0 only if every request was
# eventually answered, every response was correct, no confirmation ran twice, none was answered without
# having run, and none ran although every attempt was reported as not run.
# Run it from the root of the repository after `make build`. Takes about a minute.
set -u
source scripts/lib.sh

# log_step MESSAGE... prints a step with the seconds since the load started.
log_step() {
  echo "$SECONDS s: $*"
}

start_all
SECONDS=0
bin/standin callers --daemons 127.0.0.1:18101,127.0.0.1:18102,127.0.0.1:18103,127.0.0.1:18104 \
  --services "${services[0]},${services[1]}" --key try-key-drivers --duration 48s --rate 20 --tokens 100 >"$run_dir/callers.json" &
callers_pid=$!
sleep 6
log_step "kill entry-1"
kill -KILL "${daemons[1]}"
wait "${daemons[1]}" 2>/dev/null
sleep 3
log_step "start entry-1"
start_daemon 1
sleep 3
log_step "suspend entry-2"
kill -STOP "${daemons[2]}"
sleep 5
log_step "resume entry-2"
kill -CONT "${daemons[2]}"
sleep 2
log_step "platform unavailable for 5 s"
set_faults 127.0.0.1:17000 '{"Unavailable":true}'
sleep 5
log_step "platform available again, but slow and losing the responses to 10 writes"
set_faults 127.0.0.1:17000 '{"LoseAnswers":10,"SlowMilliseconds":100}'
sleep 3
set_faults 127.0.0.1:17000 '{}'
log_step "engine-1 and engine-2 crash"
post "${engines[0]}/crash"
post "${engines[1]}/crash"
sleep 6
log_step "connections of all engines, services and the platform stall"
for address in "${engines[@]}" "${services[@]}" 127.0.0.1:17000; do
  post "$address/silence"
done
sleep 3
log_step "the services close connections before and after running calls"
for address in "${services[@]}"; do
  set_faults "$address" '{"CutBefore":3,"CutAfter":3}'
done
sleep 2
log_step "stop entry-3"
stop_daemon 3
log_step "start entry-3"
start_daemon 3
wait "$callers_pid" || record_failure "the load (bin/standin callers) exited with status $?"
log_step "the load has ended"
cat "$run_dir/callers.json"

# sum_report KEY prints the sum of the numbers under a key in the report of the load, or 0.
sum_report() { awk -v key="\"$1\":" '$1 == key { sub(/,$/, "", $2); sum += $2 } END { print sum + 0 }' "$run_dir/callers.json"; }
for violation in RanTwice AnsweredWithoutRun FalseNotRun; do
  [ "$(sum_report "$violation")" = 0 ] || record_failure "$violation: $(sum_report "$violation")"
done
grep -q '"Wrong"' "$run_dir/callers.json" && record_failure "a response was wrong"
unanswered_chats=$(awk '/"Chats"/, /}/' "$run_dir/callers.json" | grep -c -e NotRun -e MayHaveRun -e Lost)
[ "$unanswered_chats" = 0 ] || record_failure "some chats were never answered"
# A call may end as MayHaveRun, a chat may not.
unanswered_calls=$(awk '/"Calls"/, /}/' "$run_dir/callers.json" | grep -c -e '"NotRun"' -e Lost)
[ "$unanswered_calls" = 0 ] || record_failure "some calls were never answered"
overcommitted=$(sum_counts '"OvercommitAttempts":[0-9]*' "${engines[@]}")
[ "$overcommitted" = 0 ] || record_failure "engines refused $overcommitted load orders for lack of memory"
grep -h InvariantBroken "$run_dir"/entry-*.log && record_failure "an invariant was violated"
stop_all
