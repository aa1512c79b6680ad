#!/usr/bin/env bash
# play.sh FOLDER PROGRAM: plays a case. The program of stand-ins starts the sidecar by the deploy file's command, writes
# FOLDER/record.txt and ends all that it started. Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run.
set -uo pipefail
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/build-review-2/$2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$program" ] || [ -z "$run" ]; then
  echo "review/build-2.sh has not built $2, or the deploy file names no command"
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
CASE_TMP=$temporary timeout --kill-after=2 115 "$program" "$root" "$run" "$folder"
code=$?
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
