#!/usr/bin/env bash
# clang-format and clang-tidy over all sources but the generated ones.
#
# clang-tidy spends nearly all of its time on the libraries' headers, so it is run on a few generated files that each
# include one source of each folder: sources of one folder share a namespace and may have static functions of one name.
set -euo pipefail
cd "$(dirname "$0")/.."
root="$PWD"
mapfile -t sources < <(git ls-files --cached --others --exclude-standard 'Source/*.cpp' 'Source/*.h' 'platform/*.cpp' 'platform/*.h' | grep -v '\.pb\.')
clang-format --dry-run -Werror "${sources[@]}"

groups="$(mktemp -d)"
trap 'rm -rf "$groups"' EXIT
cp .clang-tidy "$groups/"
declare -A taken
for source in "${sources[@]}"; do
    [[ "$source" == *.cpp ]] || continue
    folder="$(dirname "$source")"
    # Each program has a main of its own.
    [[ "$source" == *Programs/* || "$source" == *Benchmarks/* || "$source" == */Main.cpp ]] && folder=main
    number="${taken[$folder]:-0}"
    taken[$folder]=$((number + 1))
    echo "#include \"$root/$source\" // NOLINT(bugprone-suspicious-include)" >> "$groups/group-$number.cpp"
done
printf '%s\n' "$groups"/group-*.cpp | xargs -P "$(nproc)" -n 1 sh -c 'clang-tidy --quiet \
    --header-filter="$1/(Source|platform)/([A-Z][A-Za-z]*/)*[A-Za-z0-9]*\.(h|cpp)$" "$2" -- -std=c++20 \
    -include Common/Precompiled.h -I"$1/Source" -I"$1" -isystem "$1/Source/Inner" \
    -DBRASSLADDER_VERSION="\"0\"" -DBOOST_ASIO_DISABLE_CONCEPTS 2> /dev/null' lint "$root"
echo "format and lint are clean"
