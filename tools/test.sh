#!/usr/bin/env bash
# Builds and runs the tests. Tests listed in KNOWN-RED.txt (one line each: test, cause, issue) also run and are
# reported, but do not affect the exit code.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh release

# Prints the names of the tests in KNOWN-RED.txt as one regular expression, or nothing if there are none.
known_red_pattern() {
    [ -s KNOWN-RED.txt ] || return 0
    cut -d, -f1 KNOWN-RED.txt | sed -E '/^\s*$/d; s/[][().*+?^$|{}\\]/\\&/g' | paste -sd'|'
}

# Some tests start several processes, so only a few tests run in parallel.
red="$(known_red_pattern)"
if [ -z "$red" ]; then
    ctest --preset release --parallel 3
    exit
fi
echo "known red:"
cat KNOWN-RED.txt
named="$(grep -c '[^[:space:]]' KNOWN-RED.txt)"
found="$(ctest --preset release -N -R "^($red)\$" | sed -n 's/^Total Tests: //p')"
if [ "$found" -ne "$named" ]; then
    echo "KNOWN-RED.txt names $named tests, of which $found exist" >&2
    exit 1
fi
ctest --preset release --parallel 3 -E "^($red)\$"
# The results of these tests do not affect the exit code. If one passes, remove its line from KNOWN-RED.txt.
ctest --preset release -R "^($red)\$" || true
