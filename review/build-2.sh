#!/usr/bin/env bash
# Builds the programs of the second review's cases, stand-ins included, into review/bin-2/. Needs g++ alone; the router
# comes from the `build` line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin-2
echo "*" > bin-2/.gitignore
for folder in 4 5 6 7 8; do
    if [ -f "$folder/Case.cpp" ]; then
        g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin-2/case-$folder" "$folder/Case.cpp"
    fi
done
