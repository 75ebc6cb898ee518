#!/usr/bin/env bash
# Installs the Debian packages of scripts/packages.txt; does nothing if all are installed.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done < scripts/packages.txt
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
