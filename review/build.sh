#!/usr/bin/env bash
# Builds the programs of the cases, stand-ins included, into review/bin/. Needs g++ alone; the router comes from the
# `build` line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/Case.cpp; do
    folder="$(dirname "$source")"
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "bin/case-$folder" "$source"
done
