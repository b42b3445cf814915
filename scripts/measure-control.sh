#!/usr/bin/env bash
# Measures what control costs a daemon at rest: processor time, memory and bytes of 4, 8, 16, ...
# daemons in one data centre, with 5 engines for each 3 daemons and 100 models in force. Prints the
# mean and the largest value over the daemons; the largest is mostly the one that decides.
# Run it from the root of the repository after `make build`. Usage: measure-control.sh [SECONDS] [COUNT...]
set -u
seconds=${1:-20}
shift || true
counts=("${@:-4}")
run=$(mktemp -d)
pids=()
stop() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  pids=()
}
trap 'stop; rm -rf "$run"' EXIT

list_vms() {
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

write_settings() {
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

write_note() {
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

# sample prints for each daemon: processor ticks, bytes read and written, resident kilobytes.
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
  list_vms "$count" "$engines" >"$run/vms.json"
  roles=("platform --listen 127.0.0.1:20999 --vms $run/vms.json")
  for ((n = 0; n < engines; n++)); do
    roles+=("engine --listen 127.0.0.1:$((22000 + n)) --name engine-$n --checks-fencing")
  done
  bin/standin together "${roles[@]}" >"$run/standin.log" 2>&1 &
  pids+=($!)
  sleep 1
  for ((n = 0; n < count; n++)); do
    write_settings "$n" "$count" >"$run/entry-$n.yaml"
    bin/bronzestall serve --settings "$run/entry-$n.yaml" >"$run/entry-$n.log" 2>&1 &
    pids+=($!)
    daemons+=($!)
  done
  sleep 3
  write_note >"$run/note.yaml"
  bin/bronzestall note apply --by measure --settings "$run/entry-0.yaml" "$run/note.yaml" >"$run/note.log" 2>&1 || { cat "$run/note.log"; exit 1; }
  sleep 20
  sample >"$run/before"
  sleep "$seconds"
  sample >"$run/after"
  paste -d' ' "$run/before" "$run/after" | awk -v seconds="$seconds" -v count="$count" -v engines="$engines" -v hertz="$(getconf CLK_TCK)" '
    {
      cpu = ($6 - $2) / hertz / seconds * 100; kb = ($7 - $3) / 1000 / seconds; mb = $8 / 1024
      sc += cpu; sk += kb; sm += mb
      if (cpu > mc) mc = cpu; if (kb > mk) mk = kb; if (mb > mm) mm = mb
    }
    END { printf "%7d  %7d  %7.2f%%  %6.2f%%  %9.1f  %8.1f  %7.0f  %6.0f\n", count, engines, sc / NR, mc, sk / NR, mk, sm / NR, mm }'
  stop
done
