#!/usr/bin/env bash
# clang-format and clang-tidy over all sources but the generated ones. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard 'Source/*.cpp' 'Source/*.h' | grep -v '\.pb\.')
clang-format --dry-run -Werror "${sources[@]}"
# The compiler's precompiled header is g++'s own; clang-tidy reads the header it was made from instead.
database="$(mktemp -d)"
trap 'rm -rf "$database"' EXIT
sed -e 's/-Winvalid-pch//g' -e 's|-include [^ ]*cmake_pch.hxx|-include Common/Precompiled.h|g' build/compile_commands.json > "$database/compile_commands.json"
printf '%s\n' "${sources[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -n 2 clang-tidy -p "$database" --quiet 2> /dev/null
echo "format and lint are clean"
