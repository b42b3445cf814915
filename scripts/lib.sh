# What the scripts that run stand-ins and daemons share. It is sourced from the root of the
# repository. Only processes that a script started itself are ended, by their number.

readonly wait_seconds=30
readonly run=try
readonly key="Authorization: Bearer try-key-drivers"
readonly engines=(127.0.0.1:17101 127.0.0.1:17102 127.0.0.1:17103 127.0.0.1:17104)
readonly desks=(127.0.0.1:17201 127.0.0.1:17202)
standins=()
declare -A daemons=()
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
gone() { ! kill -0 "$1"; }
knows() { curl -sf -m 2 -H "$key" "http://127.0.0.1:1810$1/v1/models" | grep -q planner; }

# start_standin LOG ARGUMENTS... starts one stand-in.
start_standin() {
  local log=$1
  shift
  bin/standin "$@" >"$run/$log.log" 2>&1 &
  standins+=($!)
}

# start_daemon N starts daemon N; its log is added to the one of its earlier life.
start_daemon() {
  bin/bronzestall serve --settings "examples/try/entry-$1.yaml" >>"$run/entry-$1.log" 2>&1 &
  daemons[$1]=$!
}

# stop_daemon N stops daemon N gracefully.
stop_daemon() {
  local pid=${daemons[$1]}
  kill -TERM "$pid" || fail "entry-$1 had ended"
  until_true gone "$pid" || {
    fail "entry-$1 did not stop within $wait_seconds s"
    kill -KILL "$pid"
  }
  wait "$pid" || fail "entry-$1 ended with status $?"
}

# require_free_ports fails at once if something else listens where this script will.
require_free_ports() {
  local port
  for port in 17000 17101 17102 17103 17104 17201 17202 18101 18102 18103 18104; do
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && die "127.0.0.1:$port is in use"
  done
}

# require_running fails at once if a process that was started has ended.
require_running() {
  local pid
  for pid in "${standins[@]}" "${daemons[@]}"; do
    kill -0 "$pid" 2>/dev/null || die "a process that was started has ended"
  done
}

# start_all starts the stand-ins and four daemons, and applies the note.
start_all() {
  local n
  require_free_ports
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
    start_daemon "$n"
  done
  for n in 1 2 3 4; do
    until_true healthy "127.0.0.1:1810$n/health/live" || die "entry-$n does not live"
  done
  require_running
  echo "== note apply"
  bin/bronzestall note apply --settings examples/try/entry-1.yaml --by try examples/try/note-1.yaml || die "the note was not accepted"
  for n in 1 2 3 4; do
    until_true knows "$n" || die "the note is not in force at entry-$n"
    until_true healthy "127.0.0.1:1810$n/health/ready" || die "entry-$n is not ready"
  done
}

# stop_all stops the daemons gracefully and then the stand-ins, and ends the script.
stop_all() {
  local n pid
  echo "== stop"
  for n in "${!daemons[@]}"; do
    stop_daemon "$n"
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
}

# count prints the sum of a number in the counts of several stand-ins.
# Usage: count PATTERN ADDRESS...
count() {
  local pattern=$1 address sum=0 found
  shift
  for address in "$@"; do
    found=$(curl -s -m 2 "http://$address/counts" | grep -o "$pattern" | grep -o '[0-9]*$' | head -1)
    sum=$((sum + ${found:-0}))
  done
  echo "$sum"
}

# faults ADDRESS JSON puts faults of a stand-in in force.
faults() { curl -sf -m 2 -d "$2" "http://$1/faults" || fail "$1 does not take faults"; }
