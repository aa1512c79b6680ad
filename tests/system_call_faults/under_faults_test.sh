#!/usr/bin/env bash
# usage: under_faults_test.sh SHIM PROGRAM FILTER PLAN...
# Runs a test program once under each plan of system call faults: it must pass, and each fault must have been
# given.
shim=$1 program=$2 filter=$3
shift 3
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failures=0
for plan in "$@"; do
  env ASAN_OPTIONS=verify_asan_link_order=0 IVYPOST_SYSTEM_CALL_FAULTS="counts=$dir/counts;seed=3;$plan" \
    LD_PRELOAD="$shim" "$program" --gtest_filter="$filter" >"$dir/out" 2>&1
  code=$?
  if [ $code -ne 0 ] || grep -q '^ *0 of' "$dir/counts" || [ ! -s "$dir/counts" ]; then
    echo "FAILED: $plan: exit code $code"
    cat "$dir/counts" "$dir/out"
    failures=$((failures + 1))
  fi
done
if [ "$failures" -eq 0 ]; then echo "under faults: all plans passed"; fi
exit "$failures"
