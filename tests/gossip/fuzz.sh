#!/usr/bin/env bash
# Fuzzes what comes from other sidecars, by hand: fuzz.sh [SECONDS], ten minutes by default. Needs clang and its
# compiler-rt. Inputs that reach new code go to found/gossip, one that breaks something to found/; of the latter a
# small one belongs into the corpus.
set -euo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p found/gossip
clang++ -std=c++20 -g -O1 -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=all -DIVYPOST_FUZZER -Isrc \
  tests/gossip/fuzz.cpp src/gossip/members.cpp src/gossip/message.cpp src/health_reports/*.cpp -o "$work/fuzz"
"$work/fuzz" -max_total_time="${1:-600}" -max_len=4096 -artifact_prefix=found/ found/gossip tests/gossip/corpus
