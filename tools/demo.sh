#!/usr/bin/env bash
# Builds and runs the demo of both example organisations with an embedded simulation of the platform. Stops all
# processes that it started. The exit code is not 0 if any response was wrong.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh release
exec build/bin/brassladder-demo examples
