#!/usr/bin/env bash
# Installs what is missing from Debian's packages, builds, and plays half a minute with a node that hangs and one
# that drains. `scripts/demo.sh FILE` plays another scenario.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh build
cmake -S . -B build-demo -DCMAKE_BUILD_TYPE=Release -DIVYPOST_TOOLS=ON >/dev/null
cmake --build build-demo -j"$(nproc)" --target ivypost ivyfleet -- --no-print-directory -s
exec build-demo/ivyfleet "${1:-examples/hang-and-drain.toml}"
