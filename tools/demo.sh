#!/usr/bin/env bash
# Builds, then runs the demo of both example organisations with embedded stand-ins for the platform. Stops all processes
# that it started. The exit code is not 0 if any response was wrong.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh release
exec build/bin/brassladder-demo examples
