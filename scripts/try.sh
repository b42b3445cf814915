#!/usr/bin/env bash
# Starts stand-ins and four daemons, applies a note, sends requests, prints every answer with
# its time, and stops all gracefully. Exits 0 only if all of that was right.
# Run it from the root of the repository after `make build`.
set -u

readonly wait_seconds=30
readonly key="Authorization: Bearer try-key-drivers"
readonly run=try
standins=()
daemons=()
failures=0

# fail notes a failure; the script goes on, so that one run shows all of them.
fail() {
  echo "FAILED: $*"
  failures=$((failures + 1))
}

# die fails at once, for what all the rest depends on.
die() {
  echo "FAILED: $*; the logs are in $run/"
  exit 1
}

# stop ends the processes that this script started and that still run.
stop() {
  local pid
  for pid in $(jobs -p); do
    kill -KILL "$pid" 2>/dev/null
  done
  wait
}
trap stop EXIT
trap 'exit 1' INT TERM

start_standin() {
  local log=$1
  shift
  bin/standin "$@" >"$run/$log.log" 2>&1 &
  standins+=($!)
}

start_daemon() {
  bin/bronzestall serve --settings "examples/try/$1.yaml" >"$run/$1.log" 2>&1 &
  daemons+=($!)
}

# until_true repeats a command until it succeeds or the time is over.
until_true() {
  local tries=$((wait_seconds * 10))
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.1
  done
}

healthy() { curl -sf -m 2 "http://$1"; }

# ask sends one request, prints time, status and answer, and fails unless the answer has the text.
# Usage: ask NAME WANTED-TEXT CURL-ARGUMENTS...
ask() {
  local name=$1 wanted=$2 answer
  shift 2
  answer=$(curl -s -m 60 -H "$key" -w '\n%{http_code} %{time_starttransfer} %{time_total}' "$@")
  local told=${answer##*$'\n'}
  answer=${answer%$'\n'*}
  read -r status first total <<<"$told"
  printf '%s: status %s, first byte after %s s, whole after %s s\n%s\n\n' "$name" "$status" "$first" "$total" "$answer"
  [ "$status" = 200 ] || fail "$name: status $status"
  case $answer in
    *"$wanted"*) ;;
    *) fail "$name: the answer lacks $wanted" ;;
  esac
}

chat() { printf '{"model":"%s","stream":%s,"max_tokens":8,"messages":[{"role":"user","content":"%s"}]}' "$1" "$2" "$3"; }

# count prints the sum of a number in the counts of several stand-ins.
count() {
  local pattern=$1 address sum=0 found
  shift
  for address in "$@"; do
    found=$(curl -s -m 2 "http://$address/counts" | grep -o "$pattern" | grep -o '[0-9]*$' | head -1)
    sum=$((sum + ${found:-0}))
  done
  echo "$sum"
}

rm -rf "$run"
mkdir -p "$run"
head -c 24 /dev/urandom | base64 >"$run/operator.key"
chmod 600 "$run/operator.key"

start_standin platform platform --listen 127.0.0.1:17000 --vms examples/try/vms.json
for n in 1 2 3; do
  start_standin "engine-$n" engine --listen "127.0.0.1:1710$n" --name "engine-$n" --weight-store 127.0.0.1:17000 --checks-fencing
done
start_standin engine-4 engine --listen 127.0.0.1:17104 --name engine-4 --weight-store 127.0.0.1:17000
start_standin desk-1 service --listen 127.0.0.1:17201 --name desk-1
start_standin desk-2 service --listen 127.0.0.1:17202 --name desk-2
until_true healthy 127.0.0.1:17000/counts || die "the platform's stand-in does not answer"
for n in 1 2 3 4; do
  start_daemon "entry-$n"
done
for n in 1 2 3 4; do
  until_true healthy "127.0.0.1:1810$n/health/live" || die "entry-$n does not live"
done

echo "== note apply"
bin/bronzestall note apply --settings examples/try/entry-1.yaml --by try examples/try/note-1.yaml || die "the note was not accepted"
for n in 1 2 3 4; do
  knows() { curl -sf -m 2 -H "$key" "http://127.0.0.1:1810$n/v1/models" | grep -q planner; }
  until_true knows || die "the note is not in force at entry-$n"
done
for n in 1 2 3 4; do
  until_true healthy "127.0.0.1:1810$n/health/ready" || die "entry-$n is not ready"
done

echo "== requests"
json="Content-Type: application/json"
entry() { echo "http://127.0.0.1:1810$1"; }
ask "cold model" '"finish_reason":"stop"' -H "$json" -d "$(chat planner false one)" "$(entry 1)/v1/chat/completions"
ask "warm model" '"finish_reason":"stop"' -H "$json" -d "$(chat planner false two)" "$(entry 2)/v1/chat/completions"
ask "cold adapter" '"finish_reason":"stop"' -H "$json" -d "$(chat planner:rounds false three)" "$(entry 1)/v1/chat/completions"
ask "warm adapter" '"finish_reason":"stop"' -H "$json" -d "$(chat planner:rounds false four)" "$(entry 2)/v1/chat/completions"
ask "streamed" 'data: [DONE]' -N -H "$json" -d "$(chat planner true five)" "$(entry 1)/v1/chat/completions"
ask "cold model elsewhere" '"finish_reason":"stop"' -H "$json" -d "$(chat planner false six)" "$(entry 4)/v1/chat/completions"
ask "confirmation" '"Execution":1' -H "$json" -H 'Idempotency-Key: slip-1' -d '{"slip":1}' "$(entry 1)/services/orders/confirm"
ask "confirmation resent elsewhere" '"Execution":1' -H "$json" -H 'Idempotency-Key: slip-1' -d '{"slip":1}' "$(entry 3)/services/orders/confirm"

engines=(127.0.0.1:17101 127.0.0.1:17102 127.0.0.1:17103 127.0.0.1:17104)
confirmed=$(count '"slip-1":[0-9]*' 127.0.0.1:17201 127.0.0.1:17202)
overcommitted=$(count '"OvercommitAttempts":[0-9]*' "${engines[@]}")
loads=$(count '"planner@1":[0-9]*' "${engines[@]}")
echo "== counted: confirmations $confirmed, loads $loads, orders that did not fit $overcommitted"
[ "$confirmed" = 1 ] || fail "the confirmation ran $confirmed times"
[ "$overcommitted" = 0 ] || fail "$overcommitted orders did not fit"
[ "$loads" -ge 1 ] && [ "$loads" -le 3 ] || fail "the model was loaded $loads times in three data centres"

echo "== stop"
for pid in "${daemons[@]}"; do
  kill -TERM "$pid" || fail "daemon $pid had ended"
done
gone() { ! kill -0 "$1"; }
for pid in "${daemons[@]}"; do
  until_true gone "$pid" || {
    fail "daemon $pid did not stop within $wait_seconds s"
    kill -KILL "$pid"
  }
  wait "$pid" || fail "daemon $pid ended with status $?"
done
for pid in "${standins[@]}"; do
  kill -TERM "$pid" || fail "stand-in $pid had ended"
  wait "$pid"
done

if [ "$failures" -gt 0 ]; then
  echo "$failures failures; the logs are in $run/"
  exit 1
fi
echo "all was right"
