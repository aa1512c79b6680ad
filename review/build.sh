#!/usr/bin/env bash
# Builds the stand-ins of all cases into build-review/. Needs what the deploy file's build needs, and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
for source in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -pthread -Wall -Wextra -o "build-review/case-$number" "$source"
done
