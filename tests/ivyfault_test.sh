#!/usr/bin/env bash
# ivyfault as a program: where it listens, its log, its commands, and one line for each bad argument.
program=$1
dir=$(mktemp -d)
failures=0
pids=""
# shellcheck disable=SC2317  # the trap calls it
cleanUp() {
  local one
  for one in $pids; do kill "$one" 2>/dev/null; done
  rm -rf "$dir"
}
trap cleanUp EXIT
fail() {
  echo "FAILED: $1"
  failures=$((failures + 1))
}

rejects() {
  local what=$1 message=$2
  shift 2
  if timeout 20 "$program" "$@" >"$dir/out" 2>"$dir/err"; then fail "$what was accepted"; fi
  [ "$(wc -l <"$dir/err")" -eq 1 ] || fail "$what: not one line: $(cat "$dir/err")"
  grep -qF -- "$message" "$dir/err" || fail "$what: message was: $(cat "$dir/err")"
  [ -s "$dir/out" ] && fail "$what: it began to listen"
}
printf '[[rule]]\n[[rule.request]]\ndo = "explode"\n' >"$dir/bad.toml"
rejects 'a bad plan' "bad.toml:3: rule[1].request[1].do: \"explode\" is not allowed; allowed is" \
  --listen 127.0.0.1:0 --to 127.0.0.1:1 --plan "$dir/bad.toml"
rejects 'half a plan' "half.toml:" --listen 127.0.0.1:0 --to 127.0.0.1:1 --plan "$dir/half.toml"
rejects 'a bad address' "'localhost:1' is no address; allowed is" --listen 127.0.0.1:0 --to localhost:1
rejects 'an address of another machine' "bind" --listen 192.0.2.1:1 --to 127.0.0.1:1

# Two in a row, the second over a Unix socket: what the first passes on, the second resets.
printf '[[rule]]\nconnections = 1\n[[rule.request]]\nat = { bytes = 3 }\ndo = "reset"\n' >"$dir/cut.toml"
"$program" --listen "unix:$dir/inner" --to 127.0.0.1:1 --plan "$dir/cut.toml" --seed 3 >"$dir/inner.log" 2>&1 &
pids="$pids $!"
"$program" --listen 127.0.0.1:0 --to "unix:$dir/inner" --control "$dir/control" >"$dir/outer.log" 2>&1 &
pids="$pids $!"
last=$!
for _ in $(seq 200); do
  grep -q listening "$dir/inner.log" && grep -q listening "$dir/outer.log" && break
  sleep 0.05
done
port=$(sed -n 's/.*"listening":"127.0.0.1:\([0-9]*\)".*/\1/p' "$dir/outer.log")
[ -n "$port" ] || fail "it does not say where it listens: $(cat "$dir/outer.log")"
exec 3<>"/dev/tcp/127.0.0.1/$port"
printf 'abcdef' >&3
cat <&3 >/dev/null 2>&1
exec 3>&-
for _ in $(seq 200); do
  grep -q '"fault":"reset"\|unreachable' "$dir/inner.log" && break
  sleep 0.05
done
kill -TERM "$last"
wait "$last"
code=$?
[ "$code" -eq 0 ] || fail "SIGTERM ended it with $code"
[ -e "$dir/control" ] && fail 'its control socket stays'

if [ "$failures" -eq 0 ]; then echo 'ivyfault: all cases passed'; fi
exit "$failures"
