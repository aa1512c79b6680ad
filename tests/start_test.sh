#!/usr/bin/env bash
# The program itself: one clear line and a failure for bad configuration; a clean end at SIGTERM.
program=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failures=0
fail() {
  echo "FAILED: $1"
  failures=$((failures + 1))
}
unset GW_NAME GW_LISTEN GW_DISCOVERY GW_CONFIG

settings='"settings":{"classes":[{"name":"a","aim":100000,"deadline":200000,"semantics":"free"}]}'
good='{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"5",'$settings'}'

rejects() {
  printf '%s' "$2" >"$dir/config.json"
  if GW_CONFIG="$dir/config.json" timeout 20 "$program" 2>"$dir/err"; then fail "$1 was accepted"; fi
  [ "$(wc -l <"$dir/err")" -eq 1 ] || fail "$1: not one line: $(cat "$dir/err")"
  grep -q "^ivypost: .*$3" "$dir/err" || fail "$1: message was: $(cat "$dir/err")"
}
rejects 'text that is no JSON' '{"name":' 'not JSON'
rejects 'a file without settings' '{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"5"}' 'settings'
rejects 'a bad address' "${good/127.0.0.1:0/nowhere}" 'nowhere'
rejects 'a bad seed' "${good/\"5\"/\"five\"}" 'five'
rejects 'an unknown kind of class' "${good/free/often}" 'often'
rejects 'an address that cannot be listened on' "${good/127.0.0.1:0/192.0.2.1:1}" 'bind'
if timeout 20 "$program" 2>"$dir/err"; then fail 'no configuration was accepted'; fi
grep -q '^ivypost: GW_CONFIG is not set$' "$dir/err" || fail "no configuration: $(cat "$dir/err")"

# Discovery is not there (its port is closed): the program starts, and ends with 0 at SIGTERM.
printf '%s' "$good" >"$dir/config.json"
GW_CONFIG="$dir/config.json" "$program" 2>"$dir/err" &
pid=$!
for _ in $(seq 300); do
  grep -q 'discovery:' "$dir/err" && break
  sleep 0.1
done
grep -q 'the last list stays' "$dir/err" || fail "no word of the lost discovery: $(cat "$dir/err")"
# At SIGHUP it reads the file anew: a bad one changes nothing, a good one moves discovery, and it goes on.
told() {
  for _ in $(seq 300); do
    grep -q "$1" "$dir/err" && return
    sleep 0.1
  done
  fail "at SIGHUP no word of '$1': $(cat "$dir/err")"
}
printf '%s' "${good/\"5\"/}" >"$dir/config.json"
kill -HUP "$pid"
told 'the configuration stays as it was'
printf '%s' "${good/127.0.0.1:1/127.0.0.1:2}" >"$dir/config.json"
kill -HUP "$pid"
told 'discovery moves to 127.0.0.1:2'
# One that is still being written at the signal is read again when it is whole, without another signal.
printf '%s' "${good:0:60}" >"$dir/config.json"
kill -HUP "$pid"
for _ in $(seq 300); do
  [ "$(grep -c 'the configuration stays as it was' "$dir/err")" -eq 2 ] && break
  sleep 0.1
done
printf '%s' "${good/127.0.0.1:1/127.0.0.1:3}" >"$dir/config.next"
mv "$dir/config.next" "$dir/config.json"
told 'discovery moves to 127.0.0.1:3'
# Of many configurations in quick succession, some of them bad, the last one counts.
for n in $(seq 11 40); do
  printf '%s' "${good/127.0.0.1:1/127.0.0.1:$n}" >"$dir/config.next"
  [ $((n % 3)) -eq 0 ] && printf '%s' "${good:0:60}" >"$dir/config.next"
  mv "$dir/config.next" "$dir/config.json"
  kill -HUP "$pid" || fail "SIGHUP $n: the program has ended"
done
told 'discovery moves to 127.0.0.1:40'
[ "$(grep 'discovery moves to' "$dir/err" | tail -1)" = 'discovery moves to 127.0.0.1:40' ] || fail "not the last one: $(cat "$dir/err")"
# Signals amid each other, and SIGTERM twice, end it once and well.
kill -HUP "$pid"
kill -TERM "$pid"
kill -HUP "$pid"
kill -TERM "$pid"
wait "$pid"
code=$?
[ "$code" -eq 0 ] || fail "SIGTERM ended it with $code"

# The operator's file: one line for a bad one at the start and at SIGHUP, and what it prints as an example is good.
printf '%s' "$good" >"$dir/config.json"
printf '[levels]\non = 1\n' >"$dir/op.toml"
if GW_CONFIG="$dir/config.json" timeout 20 "$program" --operator "$dir/op.toml" 2>"$dir/err"; then fail 'a bad file was taken'; fi
grep -q 'op.toml:2: levels.on: 1 is neither true nor false$' "$dir/err" || fail "a bad file: $(cat "$dir/err")"
if timeout 20 "$program" --bogus >/dev/null 2>&1; then fail 'an unknown option was taken'; fi
"$program" --operator-example >"$dir/op.toml" || fail 'no example'
diff "$dir/op.toml" "$(dirname "$0")/../deploy/operator.toml" || fail 'deploy/operator.toml is not the example'
GW_CONFIG="$dir/config.json" "$program" --operator "$dir/op.toml" 2>"$dir/err" &
pid=$!
told 'ready on port'
printf '[level]\n' >"$dir/op.toml"
kill -HUP "$pid"
told "the configuration stays as it was: .*op.toml:1: level: there is no such key; did you mean 'levels'?"
kill -TERM "$pid"
wait "$pid" || fail "SIGTERM ended it with $?"

if [ "$failures" -eq 0 ]; then echo 'start: all cases passed'; fi
exit "$failures"
