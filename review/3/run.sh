#!/usr/bin/env bash
# Plays this case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=build-review/case-$(basename "$here")
if [ ! -x "$program" ]; then
  echo "$program is missing: review/build.sh makes it"
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 110 "$program" "$folder" "$here/record.txt"
result=$?
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
