#!/usr/bin/env bash
# Builds with warnings as errors, runs all tests plain and under sanitizers, checks format and sizes, lints,
# and builds the embedding example against an installed copy.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=$(git ls-files 'tests/embed/*.cpp' 'include/*.h' 'src/*.h' 'src/*.cpp' 'tests/*.h' 'tests/*.cpp')
# shellcheck disable=SC2086
clang-format --dry-run --Werror $sources
# shellcheck disable=SC2086
awk 'length($0) > 110 { print FILENAME ":" FNR ": over 110 characters"; bad = 1 } END { exit bad }' $sources
lines=$(grep -c '[^[:space:]]' src/balancer.cpp)
if [ "$lines" -gt 1200 ]; then echo "src/balancer.cpp has $lines lines, 1200 at most"; exit 1; fi
for sanitize in OFF ON; do
  dir=build-tests-$sanitize
  cmake -S . -B "$dir" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_EXPORT_COMPILE_COMMANDS=ON -DORCHIDDRUM_TESTS=ON -DORCHIDDRUM_SANITIZE=$sanitize >/dev/null
  cmake --build "$dir" -j4
  ctest --test-dir "$dir" --output-on-failure -j4
done
git ls-files -z 'src/*.cpp' | xargs -0 -n1 -P4 clang-tidy -p build-tests-OFF --quiet --warnings-as-errors='*'
cmake --install build-tests-OFF --prefix build-tests-OFF/prefix >/dev/null
cmake -S tests/embed -B build-tests-OFF/embed -DCMAKE_PREFIX_PATH="$PWD/build-tests-OFF/prefix" >/dev/null
cmake --build build-tests-OFF/embed
build-tests-OFF/embed/embed
