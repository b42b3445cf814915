# Functions of measure-overload.sh and measure-relay.sh, which run one platform stand-in, one engine
# stand-in and one daemon. Sourced from the root of the repository. Only processes that the script
# itself started are stopped.

readonly run_dir=try/measure
daemon_pid=

# kill_children kills the processes that this script started and that still run.
kill_children() {
  local pid
  for pid in $(jobs -p); do
    kill -KILL "$pid" 2>/dev/null || true
  done
}
trap kill_children EXIT

# wait_until COMMAND... repeats a command until it succeeds. It exits with 1 after 300 attempts at
# intervals of 0.1 s.
wait_until() {
  local tries=300
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || { echo "FAILED: $*"; exit 1; }
    sleep 0.1
  done
}

# start_all NOTE ENGINE-ARGUMENTS... starts the processes, applies the release note and waits until a
# request for its model m succeeds.
start_all() {
  local note=$1 port
  shift
  for port in 17400 17401 18401; do
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && { echo "FAILED: 127.0.0.1:$port is in use"; exit 1; }
  done
  mkdir -p "$run_dir"
  bin/standin platform --listen 127.0.0.1:17400 >"$run_dir/platform.log" 2>&1 &
  bin/standin engine --listen 127.0.0.1:17401 --name engine-1 --checks-fencing "$@" >"$run_dir/engine.log" 2>&1 &
  wait_until curl -sf 127.0.0.1:17400/counts
  bin/bronzestall serve --settings examples/measure/daemon.yaml >"$run_dir/daemon.log" 2>&1 &
  daemon_pid=$!
  wait_until curl -sf 127.0.0.1:18401/health/live
  bin/bronzestall note apply --settings examples/measure/daemon.yaml --by measure "$note"
  wait_until curl -sf -H 'Authorization: Bearer relay-key-1' -H 'Content-Type: application/json' \
    -d '{"model":"m","max_tokens":1,"messages":[]}' 127.0.0.1:18401/v1/chat/completions
}

# stop_daemon stops the daemon gracefully.
stop_daemon() {
  kill -TERM "$daemon_pid"
  wait "$daemon_pid" || echo "the daemon exited with status $?"
}

# report_number FILE OBJECT KEY prints a number from the JSON report of a load: the value of KEY in
# OBJECT. For a number at the top level both are its key.
report_number() {
  awk -v object="\"$2\"" -v key="\"$3\"" 'index($1, object) == 1 { inside = 1 } inside && index($1, key) == 1 { sub(/,$/, "", $2); print $2; exit }' "$1"
}

# report_object FILE NAME prints one object of the JSON report of a load on one line.
report_object() {
  awk -v name="\"$2\"" 'index($1, name) == 1 { inside = 1 } inside { printf "%s ", $0 } inside && /}/ { exit }' "$1" | tr -s ' '
}
