# What the measuring scripts share: one platform, one engine and one daemon. It is sourced from
# the root of the repository. Only processes that a script started itself are ended.

readonly run=try/measure
daemon=

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

# start NOTE ENGINE-ARGUMENTS... starts the processes, applies the note and waits until its model m answers.
start() {
  local note=$1 port
  shift
  for port in 17400 17401 18401; do
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && { echo "FAILED: 127.0.0.1:$port is in use"; exit 1; }
  done
  mkdir -p "$run"
  bin/standin platform --listen 127.0.0.1:17400 >"$run/platform.log" 2>&1 &
  bin/standin engine --listen 127.0.0.1:17401 --name engine-1 --checks-fencing "$@" >"$run/engine.log" 2>&1 &
  until_true curl -sf 127.0.0.1:17400/counts
  bin/bronzestall serve --settings examples/measure/daemon.yaml >"$run/daemon.log" 2>&1 &
  daemon=$!
  until_true curl -sf 127.0.0.1:18401/health/live
  bin/bronzestall note apply --settings examples/measure/daemon.yaml --by measure "$note"
  until_true curl -sf -H 'Authorization: Bearer relay-key-1' -H 'Content-Type: application/json' \
    -d '{"model":"m","max_tokens":1,"messages":[]}' 127.0.0.1:18401/v1/chat/completions
}

# finish stops the daemon gracefully.
finish() {
  kill -TERM "$daemon"
  wait "$daemon" || echo "the daemon ended with status $?"
}

# field FILE OBJECT KEY prints one number of a report, or of an object in it.
field() {
  awk -v object="\"$2\"" -v key="\"$3\"" 'index($1, object) == 1 { inside = 1 } inside && index($1, key) == 1 { sub(/,$/, "", $2); print $2; exit }' "$1"
}

# object FILE NAME prints one object of a report on one line.
object() {
  awk -v name="\"$2\"" 'index($1, name) == 1 { inside = 1 } inside { printf "%s ", $0 } inside && /}/ { exit }' "$1" | tr -s ' '
}
