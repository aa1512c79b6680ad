#!/usr/bin/env bash
# ivyscale as a program: one line for each bad argument, a hollow run that finds all, and one stopped half way;
# nothing is left running.
program=$1
dir=$(mktemp -d)
export TMPDIR=$dir
failures=0
pid=""
trap '[ -n "$pid" ] && kill "$pid" 2>/dev/null; rm -rf "$dir"' EXIT
fail() {
  echo "FAILED: $1"
  failures=$((failures + 1))
}
# Whether one of these still runs; one that nobody has waited for yet does not.
running() {
  local p
  for p in "$@"; do
    [ -r "/proc/$p/stat" ] && ! grep -q '^State:[[:space:]]*Z' "/proc/$p/status" 2>/dev/null && return 0
  done
  return 1
}
gone() {
  for _ in $(seq 100); do
    running "$@" || return 0
    sleep 0.1
  done
  return 1
}

rejects() {
  local what=$1 message=$2
  shift 2
  timeout 20 "$program" "$@" >"$dir/out" 2>"$dir/err"
  [ $? -eq 2 ] || fail "$what was not refused"
  [ "$(wc -l <"$dir/err")" -eq 1 ] || fail "$what: not one line: $(cat "$dir/err")"
  grep -qF -- "$message" "$dir/err" || fail "$what: message was: $(cat "$dir/err")"
  [ -s "$dir/out" ] && fail "$what: it began"
}
printf 'half a key\n' >"$dir/bad.key"
rejects 'more than a table holds' '--sidecars 5000: with the real ones from 2 to 4096' hollow --sidecars 5000
rejects 'a size beyond the memory' 'MB may be used, half of the machine' hollow --sidecars 660 --memory 64
rejects 'too many processes' '--processes 250: with --real and ivyscale itself at most 200' hollow --sidecars 660 --processes 250
rejects 'too many real ones' '--processes 8: with --real' hollow --sidecars 60 --processes 8 --real 192
rejects 'more processes than sidecars' '--processes 8: from 1 to as many as --sidecars, 4' hollow --sidecars 4 --processes 8
rejects 'fewer zones than regions' '--zones 2: fewer than --regions 3' hollow --regions 3 --zones 2
rejects 'fewer sidecars than zones' '--zones 70: more than --sidecars 60' hollow --zones 70
rejects 'a key file that is not there' '--key-file: peers.key_file: cannot read' hollow --key-file "$dir/none.key"
rejects 'a key file that holds no key' 'bad.key has to hold 64 hexadecimal digits' hollow --key-file "$dir/bad.key"
rejects 'a program that is none' "--ivypost $dir/none: no program" hollow --real 1 --ivypost "$dir/none"
rejects 'a number that is none' '--sidecars' hollow --sidecars many
rejects 'a file that cannot be written' "--json $dir/none/x" hollow --json "$dir/none/x"
rejects 'an unknown event' '--event' simulate --event flood
rejects 'a size too small' '--sizes' simulate --sizes 5
rejects 'no command' 'ubcommand' --seed 1

# Events in simulated time, and their JSON.
timeout 120 "$program" simulate --event start,calm --sizes 10,20 --seeds 2 --json "$dir/simulated.json" \
  >"$dir/out" 2>"$dir/err" || fail "simulate: $(cat "$dir/err")"
[ "$(grep -c '"event"' "$dir/simulated.json")" -eq 8 ] || fail "simulate: not eight runs: $(cat "$dir/simulated.json")"
[ "$(wc -l <"$dir/err")" -eq 8 ] || fail "simulate: progress was: $(cat "$dir/err")"

# Two processes with 20 hollow sidecars find all, and end clean.
timeout 120 "$program" hollow --sidecars 20 --processes 2 --regions 2 --zones 4 --seconds 2 --settle 1 --within 60 \
  --json "$dir/hollow.json" >"$dir/out" 2>"$dir/err" || fail "hollow: $(cat "$dir/err")"
grep -q 'until all hear all  [0-9.]* s' "$dir/out" || fail "hollow: they did not find all: $(cat "$dir/out")"
grep -q 'no data' "$dir/out" || fail "hollow: it does not say what is hollow: $(cat "$dir/out")"
grep -q '"fewest_heard": 20' "$dir/hollow.json" || fail "hollow: $(cat "$dir/hollow.json")"

# Stopped half way, in order and not: the workers end, and in order its folder goes too.
for signal in TERM INT KILL; do
  "$program" hollow --sidecars 20 --processes 2 --seconds 600 >"$dir/out" 2>"$dir/err" &
  pid=$!
  workers=""
  for _ in $(seq 200); do
    workers=$(pgrep -P "$pid" | tr '\n' ' ')
    [ "$(wc -w <<<"$workers")" -eq 2 ] && break
    sleep 0.05
  done
  [ "$(wc -w <<<"$workers")" -eq 2 ] || fail "$signal: no two workers but: $workers"
  sleep 0.3
  kill "-$signal" "$pid"
  wait "$pid" 2>/dev/null
  code=$?
  pid=""
  # shellcheck disable=SC2086
  gone $workers || fail "$signal: a worker is left running"
  [ "$signal" = KILL ] && continue
  [ "$code" -eq 2 ] || fail "$signal ended it with $code"
  grep -q 'stopped before its end; nothing is left running' "$dir/err" || fail "$signal: it said: $(cat "$dir/err")"
  [ -z "$(find "$dir" -maxdepth 1 -name 'ivyscale-*')" ] || fail "$signal: its folder stays"
done

if [ "$failures" -eq 0 ]; then echo 'ivyscale: all cases passed'; fi
exit "$failures"
