#!/usr/bin/env bash
# ivyfleet as a program: a short play that keeps the rules, one that must break one, bad files, and Ctrl-C.
fleet=$1
ivypost=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failures=0
fail() {
  echo "FAILED: $1"
  failures=$((failures + 1))
}
export TMPDIR=$dir

head='sidecars = 2
rate = 60
notice = "100ms"
[[node]]
count = 3
[[class]]
name = "reserva"
effect = "keyed"
work = "1ms"
deadline = "1s"
[[class]]
name = "cambio"
effect = "unsafe"
work = "1ms"
deadline = "800ms"'
printf 'name = "calm"\nlength = "2s"\n%s\n[[event]]\nat = "500ms"\ndo = "drain"\nnode = 1\n' "$head" >"$dir/calm.toml"
"$fleet" --ivypost "$ivypost" "$dir/calm.toml" >"$dir/out" 2>&1 || fail "a calm play: $(cat "$dir/out")"
grep -q '^all rules kept$' "$dir/out" || fail "no judgement: $(cat "$dir/out")"
grep -q -- '-- drain n1' "$dir/out" || fail "no word of the event: $(cat "$dir/out")"
grep -q $'\r' "$dir/out" && fail 'lines are rewritten where there is no terminal'

# A sidecar that is stopped for longer than its requests have time must lose some, and the ledger must say so.
printf 'name = "paused"\nlength = "3s"\n%s\n[[event]]\nat = "500ms"\ndo = "pause"\nsidecar = 1\nfor = "2s"\n' "$head" >"$dir/paused.toml"
"$fleet" --ivypost "$ivypost" "$dir/paused.toml" >"$dir/out" 2>&1
[ $? -eq 1 ] || fail "a broken rule was not told by the exit status: $(cat "$dir/out")"
grep -q '^rule 1, request .*: lost: no answer' "$dir/out" || fail "no story: $(cat "$dir/out")"

printf 'name = "bad"\nlenght = "2s"\n%s\n' "$head" >"$dir/bad.toml"
"$fleet" --ivypost "$ivypost" "$dir/bad.toml" >"$dir/out" 2>&1
[ $? -eq 2 ] || fail 'a bad file was accepted'
grep -q "bad.toml:2: lenght: there is no such key; did you mean 'length'?" "$dir/out" || fail "bad file: $(cat "$dir/out")"
"$fleet" --ivypost /nowhere/at/all "$dir/calm.toml" >"$dir/out" 2>&1
[ $? -eq 2 ] || fail 'a program that is not there was accepted'
"$fleet" --ivypost /bin/false "$dir/calm.toml" >"$dir/out" 2>&1
[ $? -eq 2 ] || fail 'a program that ends at once was accepted'
grep -q 's1 did not get ready' "$dir/out" || fail "no word of it: $(cat "$dir/out")"

# Ctrl-C ends it and every process that it started; so does a kill.
children() { pgrep -P "$1" -f "$ivypost" || true; }
for signal in INT KILL; do
  sed 's/length = "2s"/length = "60s"/' "$dir/calm.toml" >"$dir/long.toml"
  "$fleet" --ivypost "$ivypost" "$dir/long.toml" >"$dir/out" 2>&1 &
  pid=$!
  for _ in $(seq 300); do
    grep -q '1 s ' "$dir/out" && break
    sleep 0.1
  done
  started=$(children $pid)
  [ "$(echo "$started" | wc -w)" -eq 2 ] || fail "there are not two sidecars: '$started'"
  kill -$signal $pid
  wait $pid
  code=$?
  [ $signal = KILL ] || [ $code -eq 0 ] || fail "Ctrl-C ended it with $code: $(cat "$dir/out")"
  for child in $started; do
    for _ in $(seq 100); do
      kill -0 "$child" 2>/dev/null || break
      sleep 0.05
    done
    kill -0 "$child" 2>/dev/null && fail "sidecar $child goes on after $signal"
  done
done

if [ "$failures" -eq 0 ]; then echo 'fleet: all cases passed'; fi
exit "$failures"
