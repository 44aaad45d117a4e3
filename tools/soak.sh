#!/usr/bin/env bash
# Runs the fault soak: router processes serve routes while faults derived from a seed are injected, and the soak checks
# what callers and upstreams observe. See CONTRIBUTING.md, "The fault soak".
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
    cat <<'TEXT'
usage: tools/soak.sh [--jobs=N] [--seconds=N] [--out=FOLDER] SEED...
       tools/soak.sh --known       the seeds of platform/Soak/seeds.txt
Builds, and runs each seed (a number, FROM-TO, or NUMBER:KIND,... for these kinds of faults alone) in its own processes.
  --jobs=N      seeds in parallel (2, at most 4: a seed has 5 to 16 routers)
  --seconds=N   duration of the fault injection (12)
  --out=FOLDER  folder for summary.json and the logs, plan and failures of each failed seed (target/soak)
Prints one line per seed. Exits with 1 if a seed failed.
TEXT
}

jobs=2
seconds=12
out=target/soak
seeds=()
for word in "$@"; do
    case "$word" in
    --help) usage; exit 0 ;;
    --jobs=*) jobs="${word#*=}" ;;
    --seconds=*) seconds="${word#*=}" ;;
    --out=*) out="${word#*=}" ;;
    --known) mapfile -t -O "${#seeds[@]}" seeds < <(sed -nE 's/^([0-9]+[^ ]*) .*/\1/p' platform/Soak/seeds.txt) ;;
    [0-9]*:*) seeds+=("$word") ;;
    *-*) mapfile -t -O "${#seeds[@]}" seeds < <(seq "${word%-*}" "${word#*-}") ;;
    *) seeds+=("$word") ;;
    esac
done
if [ "${#seeds[@]}" -eq 0 ]; then
    usage >&2
    exit 2
fi
# More seeds could use more than half of the processes that the machine allows.
if [ "$jobs" -gt 4 ]; then
    echo "--jobs: at most 4 seeds can run in parallel" >&2
    exit 2
fi

if [ -z "${BRASSLADDER_BIN:-}" ]; then
    cmake --preset release > /dev/null
    cmake --build --preset release --target brassladder-soak brassladder-router > /dev/null
    BRASSLADDER_BIN="$PWD/build/bin"
fi
mkdir -p "$out"
rm -f "$out"/seed-*.json
status=0
printf '%s\n' "${seeds[@]}" | xargs -P "$jobs" -I{} \
    "$BRASSLADDER_BIN/brassladder-soak" --seconds="$seconds" --out="$out" --json="$out/seed-{}.json" {} || status=1
echo "[$(cat "$out"/seed-*.json | paste -sd,)]" > "$out/summary.json"
echo "${#seeds[@]} seeds, $(cat "$out"/seed-*.json | grep -c '"ok":true' || true) ok; summary in $out/summary.json"
exit $status
