#!/usr/bin/env bash
# Runs the program of a case with a temporary folder. The program is ended after 118 seconds, and with it the routers
# that it started (PR_SET_PDEATHSIG).
# Usage: run-case.sh FOLDER
folder="$1"
repository="$(cd "$folder/../.." && pwd)"
program="$repository/review/bin/case-$(basename "$folder")"
[ -x "$program" ] && [ -x "$repository/target/bin/brassladder-router" ] || exit 2
temporary="$(mktemp -d)" || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout --signal=KILL 118 "$program" "$folder" "$repository" "$temporary"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then
    mkdir -p "$KEEP_LOGS" && cp "$temporary"/*.log "$KEEP_LOGS"/
fi
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
