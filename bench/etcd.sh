#!/usr/bin/env bash
# What membership by etcd costs, by whole programs on loopback: bench/etcd.sh BUILD_FOLDER (built with -DIVYPOST_ETCD=ON
# -DIVYPOST_TOOLS=ON, Release). Prints memory and start-up time of ivypost and of ivypost-etcd with the source off and on,
# then with 10,000 nodes, calls while idle, and processor time under 1,000 changes a second.
set -euo pipefail
build=$1
dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT

coproc ETCD { exec "$build/ivyetcd" --members 3; }
pids+=("$ETCD_PID")
endpoints=()
for _ in 1 2 3; do
  read -r line <&"${ETCD[0]}"
  endpoints+=("\"http://${line##* }\"")
done
ask() {
  printf '%s\n' "$1" >&"${ETCD[1]}"
  read -r answer <&"${ETCD[0]}"
  printf '%s' "$answer"
}
joined=$(
  IFS=,
  printf '%s' "${endpoints[*]}"
)

printf '%s' '{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"5","settings":{"classes":[{"name":"a",
"aim":100000,"deadline":200000,"semantics":"free"}],"zones":["a"],"locality":"a"}}' >"$dir/config.json"
printf '[membership]\nsource = "etcd"\n[membership.etcd]\nendpoints = [%s]\n' "$joined" >"$dir/op.toml"

memory() {
  awk '/^VmRSS|^Threads/ { printf "%s %s  ", $1, $2 }' "/proc/$1/status"
  awk '/^Pss:/ { print "Pss: " $2 " kB" }' "/proc/$1/smaps_rollup"
}
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
# start LABEL PROGRAM ARGUMENTS...: leaves its id in $sidecar.
start() {
  local label=$1 from
  shift
  from=$(date +%s%N)
  GW_CONFIG="$dir/config.json" "$@" 2>"$dir/log" &
  sidecar=$!
  pids+=("$sidecar")
  until grep -q 'ready on port' "$dir/log"; do sleep 0.001; done
  printf '%-28s ready after %4d ms  ' "$label" $((($(date +%s%N) - from) / 1000000))
  sleep 2
  memory "$sidecar"
}
stop() {
  kill "$sidecar"
  wait "$sidecar" 2>/dev/null || true
}

start "ivypost" "$build/ivypost"
stop
start "ivypost-etcd, source off" "$build/ivypost-etcd"
stop
start "ivypost-etcd, no node" "$build/ivypost-etcd" --operator "$dir/op.toml"
stop
ask "fill /ivypost/nodes/a 100" >/dev/null
start "ivypost-etcd, 100 nodes" "$build/ivypost-etcd" --operator "$dir/op.toml"
before=$(ask counts)
sleep 10
printf 'idle for 10 s\n  %s\n  %s\n' "$before" "$(ask counts)"
stop
ask "fill /ivypost/nodes/b 9900" >/dev/null
start "ivypost-etcd, 10,000 nodes" "$build/ivypost-etcd" --operator "$dir/op.toml"
used=$(ticks "$sidecar")
ask "churn /ivypost/nodes/a 1000 10" >/dev/null
printf '1,000 changes a second for 10 s, 10,000 nodes: %d ms of processor a second  ' $((($(ticks "$sidecar") - used) * 1000 / $(getconf CLK_TCK) / 10))
memory "$sidecar"
cat "$dir/log"
