#!/usr/bin/env bash
# Measures the cost of single faults on a deployment: plays the days of deploy/probes, which
# have one fault each on the deployment's usual traffic, and prints the difference of the
# worth of each from that of the day without a fault.
# Usage: scripts/probes.sh BENCH SITE [JOBS]
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2 jobs=${3:-4}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# play DAY: plays one day and saves its worth.
play() {
  local name
  name=$(basename "$1" .toml)
  "$bench" run "$site" "$1" --no-cpu --jobs 1 --report "$out/$name.json" --why "the price of a single fault: $name" >"$out/$name.txt" 2>&1 || true
  sed -n 's/^worth \(-\{0,1\}[0-9.]*\) =.*/\1/p' "$out/$name.txt" >"$out/$name.worth"
}
export -f play
export bench site out
printf '%s\0' deploy/probes/*.toml | xargs -0 -n 1 -P "$jobs" bash -c 'play "$0"'

none=$(cat "$out/none.worth")
echo "without fault: $none"
for worth in "$out"/*.worth; do
  name=$(basename "$worth" .worth)
  if [ ! -s "$worth" ]; then
    echo "not-played $name"
  elif [ "$name" != none ]; then
    awk -v none="$none" -v name="$name" '{ printf "%6.3f %s\n", none - $1, name }' "$worth"
  fi
done | sort -rn
