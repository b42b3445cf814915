#!/usr/bin/env bash
# Measures the cost of the control plane in idle daemons: processor time, I/O bytes and resident memory
# for each COUNT of daemons (4, 8, 16, ...; default 4) in one data centre, with 5 engines per 3 daemons
# and 100 models in force. Prints the mean and the maximum over the daemons; the maximum is usually that
# of the daemon that makes the placement decisions. SECONDS is the time of one measurement, default 20.
# Run it from the root of the repository after `make build`. Usage: measure-control.sh [SECONDS] [COUNT...]
set -u
seconds=${1:-20}
shift || true
counts=("${@:-4}")
run_dir=$(mktemp -d)
pids=()
# kill_children kills the processes that this script started.
kill_children() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  pids=()
}
trap 'kill_children; rm -rf "$run_dir"' EXIT

# print_vm_list DAEMONS ENGINES prints the VM list of the platform.
print_vm_list() {
  local n
  echo '{"VMs": ['
  for ((n = 0; n < $1; n++)); do
    echo "{\"Name\":\"entry-$n\",\"Incarnation\":\"1\",\"DataCentre\":\"one\",\"Role\":\"Entry\",\"Address\":\"127.0.0.1:$((21000 + n))\"},"
  done
  for ((n = 0; n < $2; n++)); do
    echo "{\"Name\":\"engine-$n\",\"Incarnation\":\"1\",\"DataCentre\":\"one\",\"Role\":\"Engine\",\"Address\":\"127.0.0.1:$((22000 + n))\"}$([ "$n" -lt $(($2 - 1)) ] && echo ,)"
  done
  echo ']}'
}

# print_settings N COUNT prints the settings of daemon N of COUNT. Its only configured peer is the next
# daemon, and its only configured upstream is engine 0.
print_settings() {
  cat <<YAML
Name: entry-$1
DataCentre: one
CallerAddress: 127.0.0.1:$((23000 + $1))
OperatorAddress: 127.0.0.1:$((24000 + $1))
PeerAddress: 127.0.0.1:$((21000 + $1))
DataCentres: [{Name: one, Region: one}]
Peers: [{Name: entry-$((($1 + 1) % $2)), Address: 127.0.0.1:$((21000 + ($1 + 1) % $2))}]
Upstreams: [{Name: engine-0, Address: 127.0.0.1:22000, DataCentre: one, Kind: Engine, ChecksFencing: true, ChecksBoot: true, Memory: 80GiB}]
Platform: {Address: 127.0.0.1:20999}
WeightStore: {LoadsPerSecond: 2.6, LoadsAtOnce: 4, AdaptersInFlight: 32}
Tenants: [{Name: a, KeySHA256: bc3022af9263bce40d1c655fd8962b25e9ff353c2b100063bca702c987cbfb4d}]
Classes: [{Name: chat, Deadline: 20s, Total: 1m}]
KeepWarm: {ColdStartWeight: 1, IdleHourWeight: 4}
Drain: {Notice: 1s, Limit: 5s}
YAML
}

# print_note prints a release note that adds 100 models.
print_note() {
  local n
  echo 'Note: models'
  echo 'Base: 0'
  echo 'Summary: many models'
  echo 'Models:'
  echo '  Added:'
  for ((n = 0; n < 100; n++)); do
    echo "    - {Name: model-$n, Version: \"1\", Weights: 8GiB}"
  done
}

# sample prints one line per daemon: process ID, processor time in clock ticks, bytes read and written,
# resident memory in KiB.
sample() {
  local pid
  for pid in "${daemons[@]}"; do
    echo "$pid $(awk '{print $14 + $15}' "/proc/$pid/stat") $(awk '/^[rw]char/ {sum += $2} END {print sum}' "/proc/$pid/io") $(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")"
  done
}

echo "daemons  engines  cpu mean  cpu max  KB/s mean  KB/s max  MB mean  MB max"
for count in "${counts[@]}"; do
  engines=$((count * 5 / 3))
  daemons=()
  print_vm_list "$count" "$engines" >"$run_dir/vms.json"
  roles=("platform --listen 127.0.0.1:20999 --vms $run_dir/vms.json")
  for ((n = 0; n < engines; n++)); do
    roles+=("engine --listen 127.0.0.1:$((22000 + n)) --name engine-$n --checks-fencing")
  done
  bin/standin together "${roles[@]}" >"$run_dir/standin.log" 2>&1 &
  pids+=($!)
  sleep 1
  for ((n = 0; n < count; n++)); do
    print_settings "$n" "$count" >"$run_dir/entry-$n.yaml"
    bin/bronzestall serve --settings "$run_dir/entry-$n.yaml" >"$run_dir/entry-$n.log" 2>&1 &
    pids+=($!)
    daemons+=($!)
  done
  sleep 3
  print_note >"$run_dir/note.yaml"
  bin/bronzestall note apply --by measure --settings "$run_dir/entry-0.yaml" "$run_dir/note.yaml" >"$run_dir/note.log" 2>&1 || { cat "$run_dir/note.log"; exit 1; }
  sleep 20
  sample >"$run_dir/before"
  sleep "$seconds"
  sample >"$run_dir/after"
  paste -d' ' "$run_dir/before" "$run_dir/after" | awk -v seconds="$seconds" -v count="$count" -v engines="$engines" -v ticks_per_second="$(getconf CLK_TCK)" '
    {
      cpu = ($6 - $2) / ticks_per_second / seconds * 100; kb = ($7 - $3) / 1000 / seconds; mb = $8 / 1024
      cpu_sum += cpu; kb_sum += kb; mb_sum += mb
      if (cpu > cpu_max) cpu_max = cpu; if (kb > kb_max) kb_max = kb; if (mb > mb_max) mb_max = mb
    }
    END { printf "%7d  %7d  %7.2f%%  %6.2f%%  %9.1f  %8.1f  %7.0f  %6.0f\n", count, engines, cpu_sum / NR, cpu_max, kb_sum / NR, kb_max, mb_sum / NR, mb_max }'
  kill_children
done
