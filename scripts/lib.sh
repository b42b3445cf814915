# Functions of try.sh and shake.sh, which run four daemons and stand-ins (bin/standin: the simulated
# platform, engines and services) on this machine. Sourced from the root of the repository. Only
# processes that the script itself started are stopped, by their process ID.

readonly wait_seconds=30
readonly run_dir=try
readonly auth_header="Authorization: Bearer try-key-drivers"
readonly engines=(127.0.0.1:17101 127.0.0.1:17102 127.0.0.1:17103 127.0.0.1:17104)
readonly services=(127.0.0.1:17201 127.0.0.1:17202)
standins=()
declare -A daemons=()
failures=0

# record_failure MESSAGE... prints and counts a failure. The script continues, so that one run reports
# every failure.
record_failure() {
  echo "FAILED: $*"
  failures=$((failures + 1))
}

# abort MESSAGE... prints a failure and exits, because the remaining steps depend on the failed one.
abort() {
  echo "FAILED: $*; the logs are in $run_dir/"
  exit 1
}

# kill_children kills the processes that this script started and that still run.
kill_children() {
  local pid
  for pid in $(jobs -p); do
    kill -KILL "$pid" 2>/dev/null
  done
  wait
}
trap kill_children EXIT
trap 'exit 1' INT TERM

# wait_until COMMAND... repeats a command until it succeeds. It returns 1 after about wait_seconds.
wait_until() {
  local tries=$((wait_seconds * 10))
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.1
  done
}

# responds URL succeeds if the address answers with a success status within 2 s.
responds() { curl -sf -m 2 "http://$1"; }
# has_exited PID succeeds if the process no longer exists.
has_exited() { ! kill -0 "$1"; }
# has_note_in_force N succeeds if daemon N lists the model of the release note.
has_note_in_force() { curl -sf -m 2 -H "$auth_header" "http://127.0.0.1:1810$1/v1/models" | grep -q planner; }

# start_standin LOG ARGUMENTS... starts one stand-in, whose output goes to LOG.log.
start_standin() {
  local log=$1
  shift
  bin/standin "$@" >"$run_dir/$log.log" 2>&1 &
  standins+=($!)
}

# start_daemon N starts daemon N. Its log is appended to that of its previous process.
start_daemon() {
  bin/bronzestall serve --settings "examples/try/entry-$1.yaml" >>"$run_dir/entry-$1.log" 2>&1 &
  daemons[$1]=$!
}

# stop_daemon N stops daemon N gracefully. After wait_seconds it is killed, which counts as a failure.
stop_daemon() {
  local pid=${daemons[$1]}
  kill -TERM "$pid" || record_failure "entry-$1 had already exited"
  wait_until has_exited "$pid" || {
    record_failure "entry-$1 did not stop within $wait_seconds s"
    kill -KILL "$pid"
  }
  wait "$pid" || record_failure "entry-$1 exited with status $?"
}

# require_free_ports aborts if a port of a stand-in or a client port of a daemon is in use. The operator
# and peer ports of the daemons are not checked.
require_free_ports() {
  local port
  for port in 17000 17101 17102 17103 17104 17201 17202 18101 18102 18103 18104; do
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && abort "127.0.0.1:$port is in use"
  done
}

# require_running aborts if a stand-in or daemon has exited.
require_running() {
  local pid
  for pid in "${standins[@]}" "${daemons[@]}"; do
    kill -0 "$pid" 2>/dev/null || abort "a stand-in or daemon has exited"
  done
}

# start_all starts the stand-ins and four daemons, applies the release note and waits until it is in
# force at every daemon. Engine 4 is the one that does not check fencing numbers.
start_all() {
  local n
  require_free_ports
  rm -rf "$run_dir"
  mkdir -p "$run_dir"
  head -c 24 /dev/urandom | base64 >"$run_dir/operator.key"
  chmod 600 "$run_dir/operator.key"
  start_standin platform platform --listen 127.0.0.1:17000 --vms examples/try/vms.json
  for n in 1 2 3; do
    start_standin "engine-$n" engine --listen "127.0.0.1:1710$n" --name "engine-$n" --weight-store 127.0.0.1:17000 --checks-fencing
  done
  start_standin engine-4 engine --listen 127.0.0.1:17104 --name engine-4 --weight-store 127.0.0.1:17000
  start_standin desk-1 service --listen 127.0.0.1:17201 --name desk-1
  start_standin desk-2 service --listen 127.0.0.1:17202 --name desk-2
  wait_until responds 127.0.0.1:17000/counts || abort "the platform stand-in does not respond"
  for n in 1 2 3 4; do
    start_daemon "$n"
  done
  for n in 1 2 3 4; do
    wait_until responds "127.0.0.1:1810$n/health/live" || abort "entry-$n is not live"
  done
  require_running
  echo "== note apply"
  bin/bronzestall note apply --settings examples/try/entry-1.yaml --by try examples/try/note-1.yaml || abort "the note was not accepted"
  for n in 1 2 3 4; do
    wait_until has_note_in_force "$n" || abort "the note is not in force at entry-$n"
    wait_until responds "127.0.0.1:1810$n/health/ready" || abort "entry-$n is not ready"
  done
}

# stop_all stops the daemons gracefully and then the stand-ins, and exits with 1 if any failure was
# recorded.
stop_all() {
  local n pid
  echo "== stop"
  for n in "${!daemons[@]}"; do
    stop_daemon "$n"
  done
  for pid in "${standins[@]}"; do
    kill -TERM "$pid" || record_failure "stand-in $pid had already exited"
    wait "$pid"
  done
  if [ "$failures" -gt 0 ]; then
    echo "$failures failures; the logs are in $run_dir/"
    exit 1
  fi
  echo "all checks passed"
}

# sum_counts PATTERN ADDRESS... adds up one number from the /counts of several stand-ins. PATTERN is a
# regular expression that ends with the digits. A stand-in that does not report the number counts as 0.
sum_counts() {
  local pattern=$1 address sum=0 found
  shift
  for address in "$@"; do
    found=$(curl -s -m 2 "http://$address/counts" | grep -o "$pattern" | grep -o '[0-9]*$' | head -1)
    sum=$((sum + ${found:-0}))
  done
  echo "$sum"
}

# post sends an empty POST request to the URL, and records a failure if it is not accepted.
post() { curl -sf -m 2 -X POST "http://$1" || record_failure "$1 was not accepted"; }

# set_faults ADDRESS JSON replaces the faults that a stand-in injects; {} ends them.
set_faults() { curl -sf -m 2 -d "$2" "http://$1/faults" || record_failure "$1 did not accept the faults"; }
