#!/usr/bin/env bash
# Installs the missing Debian packages of tools/packages.txt, then configures and builds a preset.
# Usage: tools/setup.sh [PRESET]   (default: release)
set -euo pipefail
cd "$(dirname "$0")/.."
preset="${1:-release}"
missing=()
while read -r package; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done < tools/packages.txt
if [ "${#missing[@]}" -gt 0 ]; then
    elevate=""
    [ "$(id -u)" -eq 0 ] || elevate=sudo
    $elevate apt-get update -qq
    DEBIAN_FRONTEND=noninteractive $elevate apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
fi
cmake --preset "$preset" > /dev/null
cmake --build --preset "$preset"
