#!/usr/bin/env bash
# Lints all shell scripts of the project and checks their form: `shfmt -i 2 -ci -w FILE` puts it right.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts=$(git ls-files '*.sh' .ci/run)
# shellcheck disable=SC2086
shellcheck $scripts
# shellcheck disable=SC2086
shfmt -d -i 2 -ci $scripts
