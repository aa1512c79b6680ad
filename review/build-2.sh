#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up into build-review-2/. Needs only the compiler that builds the project.
# The sidecar itself comes from the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
compiler=${CXX:-c++}
mkdir -p build-review-2
for source in review/[0-9]*/*.cpp; do
  name=$(basename "$source" .cpp)
  # The cases of the earlier review are built by review/build.sh.
  if [ "$name" = case ]; then continue; fi
  "$compiler" -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-2/$name" "$source"
  echo "built $name"
done
