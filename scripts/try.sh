#!/usr/bin/env bash
# Starts stand-ins and four daemons, applies a release note, sends requests, prints every response with
# its status and times, and stops everything gracefully. Exits with 0 only if every step succeeded.
# Run it from the root of the repository after `make build`.
set -u
source scripts/lib.sh

# send_request NAME EXPECTED-TEXT CURL-ARGUMENTS... sends one request and prints status, times and
# response. It records a failure unless the status is 200 and the response contains the text.
send_request() {
  local name=$1 expected=$2 response summary status first_byte total
  shift 2
  response=$(curl -s -m 60 -H "$auth_header" -H 'Content-Type: application/json' -w '\n%{http_code} %{time_starttransfer} %{time_total}' "$@")
  summary=${response##*$'\n'}
  response=${response%$'\n'*}
  read -r status first_byte total <<<"$summary"
  printf '%s: status %s, first byte after %s s, complete after %s s\n%s\n\n' "$name" "$status" "$first_byte" "$total" "$response"
  [ "$status" = 200 ] || record_failure "$name: status $status"
  case $response in
    *"$expected"*) ;;
    *) record_failure "$name: the response does not contain $expected" ;;
  esac
}

# chat_body MODEL STREAM TEXT prints the body of a chat request.
chat_body() { printf '{"model":"%s","stream":%s,"max_tokens":8,"messages":[{"role":"user","content":"%s"}]}' "$1" "$2" "$3"; }
# daemon_url N prints the client address of daemon N.
daemon_url() { echo "http://127.0.0.1:1810$1"; }

start_all
echo "== requests"
readonly chat_path=/v1/chat/completions confirm_path=/services/orders/confirm complete='"finish_reason":"stop"'
send_request "cold model" "$complete" -d "$(chat_body planner false one)" "$(daemon_url 1)$chat_path"
send_request "warm model" "$complete" -d "$(chat_body planner false two)" "$(daemon_url 2)$chat_path"
send_request "cold adapter" "$complete" -d "$(chat_body planner:rounds false three)" "$(daemon_url 1)$chat_path"
send_request "warm adapter" "$complete" -d "$(chat_body planner:rounds false four)" "$(daemon_url 2)$chat_path"
send_request "streamed" 'data: [DONE]' -N -d "$(chat_body planner true five)" "$(daemon_url 1)$chat_path"
send_request "through another data centre" "$complete" -d "$(chat_body planner false six)" "$(daemon_url 4)$chat_path"
send_request "confirmation" '"Execution":1' -H 'Idempotency-Key: slip-1' -d '{"slip":1}' "$(daemon_url 1)$confirm_path"
send_request "confirmation sent again through another daemon" '"Execution":1' -H 'Idempotency-Key: slip-1' -d '{"slip":1}' "$(daemon_url 3)$confirm_path"

# Each of the three data centres may load the model once.
confirmed=$(sum_counts '"slip-1":[0-9]*' "${services[@]}")
overcommitted=$(sum_counts '"OvercommitAttempts":[0-9]*' "${engines[@]}")
loads=$(sum_counts '"planner@1":[0-9]*' "${engines[@]}")
echo "== counted: confirmations $confirmed, loads $loads, load orders refused for lack of memory $overcommitted"
[ "$confirmed" = 1 ] || record_failure "the confirmation ran $confirmed times"
[ "$overcommitted" = 0 ] || record_failure "engines refused $overcommitted load orders for lack of memory"
[ "$loads" -ge 1 ] && [ "$loads" -le 3 ] || record_failure "the model was loaded $loads times in three data centres"
stop_all
