#!/usr/bin/env bash
# Sets up and builds, then shows both example organisations at work with embedded stand-ins.
# Ends all that it started; the exit code is not 0 when any answer was wrong.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh release
exec build/bin/brassladder-demo examples
