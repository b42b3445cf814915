#!/usr/bin/env bash
# Starts stand-ins and four daemons, applies a note, sends requests, prints every answer with
# its time, and stops all gracefully. Exits 0 only if all of that was right.
# Run it from the root of the repository after `make build`.
set -u
source scripts/lib.sh

# ask sends one request, prints time, status and answer, and fails unless the answer has the text.
# Usage: ask NAME WANTED-TEXT CURL-ARGUMENTS...
ask() {
  local name=$1 wanted=$2 answer told status first total
  shift 2
  answer=$(curl -s -m 60 -H "$key" -H 'Content-Type: application/json' -w '\n%{http_code} %{time_starttransfer} %{time_total}' "$@")
  told=${answer##*$'\n'}
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
entry() { echo "http://127.0.0.1:1810$1"; }

start_all
echo "== requests"
readonly chats=/v1/chat/completions confirm=/services/orders/confirm whole='"finish_reason":"stop"'
ask "cold model" "$whole" -d "$(chat planner false one)" "$(entry 1)$chats"
ask "warm model" "$whole" -d "$(chat planner false two)" "$(entry 2)$chats"
ask "cold adapter" "$whole" -d "$(chat planner:rounds false three)" "$(entry 1)$chats"
ask "warm adapter" "$whole" -d "$(chat planner:rounds false four)" "$(entry 2)$chats"
ask "streamed" 'data: [DONE]' -N -d "$(chat planner true five)" "$(entry 1)$chats"
ask "through another data centre" "$whole" -d "$(chat planner false six)" "$(entry 4)$chats"
ask "confirmation" '"Execution":1' -H 'Idempotency-Key: slip-1' -d '{"slip":1}' "$(entry 1)$confirm"
ask "confirmation resent elsewhere" '"Execution":1' -H 'Idempotency-Key: slip-1' -d '{"slip":1}' "$(entry 3)$confirm"

confirmed=$(count '"slip-1":[0-9]*' "${desks[@]}")
overcommitted=$(count '"OvercommitAttempts":[0-9]*' "${engines[@]}")
loads=$(count '"planner@1":[0-9]*' "${engines[@]}")
echo "== counted: confirmations $confirmed, loads $loads, orders that did not fit $overcommitted"
[ "$confirmed" = 1 ] || fail "the confirmation ran $confirmed times"
[ "$overcommitted" = 0 ] || fail "$overcommitted orders did not fit"
[ "$loads" -ge 1 ] && [ "$loads" -le 3 ] || fail "the model was loaded $loads times in three data centres"
stop_all
