#!/usr/bin/env bash
# Sets up, builds and passes the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh release
# Tests start processes of their own, so few run at once.
ctest --preset release --parallel 3
