#!/usr/bin/env bash
# Installs from Debian's packages what is missing to build and test: `packages.sh build` for the programs and
# tools, `packages.sh tests` for the tests and checks too. Needs root only when something is missing.
set -euo pipefail
packages="g++ cmake make libboost-dev nlohmann-json3-dev libtomlplusplus-dev libcli11-dev libsodium-dev"
case "${1:-build}" in
  build) ;;
  tests) packages="$packages git ccache libgtest-dev librapidcheck-dev libgrpc++-dev protobuf-compiler protobuf-compiler-grpc libprotobuf-dev clang-format clang-tidy doxygen shellcheck shfmt" ;;
  *)
    echo "packages.sh: '$1' is neither build nor tests" >&2
    exit 2
    ;;
esac
missing=""
for package in $packages; do
  dpkg-query -W -f '${db:Status-Abbrev}' "$package" 2>/dev/null | grep -q '^ii' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
root=""
if [ "$(id -u)" -ne 0 ]; then root=sudo; fi
$root apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $root apt-get install -y -qq --no-install-recommends $missing
