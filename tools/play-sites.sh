#!/usr/bin/env bash
# Runs the users' bench on each site, and prints a summary per site: violated rules, gates, and the mean worth of the
# days with trouble next to the last committed figure (tools/site-figures.txt).
#
# Usage: BENCH=PROGRAM tools/play-sites.sh score|hunt OUT_DIR SITE_FILE...
#   BENCH     the users' bench
#   JOBS      parallel days (4)
#   WHY       reason for the run, recorded in the bench's journal (regression run)
#   SMALL     days of a hunt on a site with fewer than 60 instances (40)
#   LARGE     days of a hunt on a larger site (8)
set -euo pipefail
[ $# -ge 3 ] || { sed -n '2,11s/^# \{0,1\}//p' "$0" >&2; exit 2; }
verb="$1"
out="$2"
shift 2
cd "$(dirname "$0")/.."
mkdir -p "$out"

# Prints the number of instances in a site file, excluding spare ones.
instances_of() {
    sed -n '/^machines = \[/,/^\]/s/.*count = \([0-9]*\).*/\1/p' "$1" | awk '{ sum += $1 } END { print sum + 0 }'
}

# Prints the mean worth of the days with trouble in a table of `score`, excluding calm days and the randomly drawn day.
mean_worth() {
    awk '$1 ~ /^(trouble|scale)-[0-9]+$/ && $4 ~ /^[0-9.]+$/ { sum += $4; days++ } END { if (days) printf "%.3f", sum / days; else printf "-" }' "$1"
}

for site in "$@"; do
    name="$(basename "$site" .toml)"
    output="$out/$verb-$name.txt"
    arguments=("$verb" "$site" --jobs "${JOBS:-4}" --why "${WHY:-regression run}")
    if [ "$verb" = hunt ]; then
        days="${SMALL:-40}"
        [ "$(instances_of "$site")" -lt 60 ] || days="${LARGE:-8}"
        arguments+=(--days "$days")
    fi
    "$BENCH" "${arguments[@]}" > "$output" 2>&1 || echo "$name: the bench exited with status $?" >&2
    printf '%s\n' "$name: $(grep -cE '\b(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|ORDER|RECOVER|TIER)\b' "$output" || true) lines with rules, mean worth $(mean_worth "$output") (committed: $(awk -v name="$name" '$1 == name { print $2 }' tools/site-figures.txt)), $(grep -oE 'GATE (passed|failed)' "$output" || echo 'no gate')" \
        | tee -a "$out/summary.txt"
done
