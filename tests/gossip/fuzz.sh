#!/usr/bin/env bash
# Fuzzes the handling of messages from other sidecars, run manually: fuzz.sh [SECONDS], ten minutes by default. Needs
# clang and its compiler-rt. Inputs that reach new code are saved in found/gossip, failing inputs in found/; a small
# failing input should be added to the corpus.
set -euo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p found/gossip
sources=(src/health_reports/*.cpp)
for source in src/gossip/*.cpp; do
  # These two need Asio and libsodium, and the fuzz target doesn't use them.
  case $source in */transport.cpp | */seal.cpp) ;; *) sources+=("$source") ;; esac
done
clang++ -std=c++20 -g -O1 -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=all -DIVYPOST_FUZZER -Isrc \
  tests/gossip/fuzz.cpp "${sources[@]}" -o "$work/fuzz"
"$work/fuzz" -max_total_time="${1:-600}" -max_len=4096 -artifact_prefix=found/ found/gossip tests/gossip/corpus
