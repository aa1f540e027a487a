#!/usr/bin/env bash
# Compares two revisions on the same days and seeds: plays each pair without processor
# time, prints the paired differences of worth, and their mean with an interval of 90 % by
# bootstrap. Plays that are done are kept in OUT and not repeated, so that a comparison that
# was cut off goes on where it was. Journal entries are copied to ./journal.
# Usage: scripts/compare.sh BENCH JOBS OUT OLD NEW SEEDS WHY SITE:DAY...
#   SEEDS is a comma-separated list; the seed 0 is the day's own.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 8 ]; then
  sed -n '2,8s/^# //p' "$0" >&2
  exit 2
fi
bench=$1 jobs=$2 out=$3 old=$4 new=$5 seeds=$6 why=$7
shift 7
mkdir -p "$out"

# checkout NAME REVISION: makes a clone of the revision, unless it exists.
checkout() {
  [ -d "$out/$1" ] && return
  git clone -q . "$out/$1"
  git -C "$out/$1" checkout -q "$2"
}

# play BUILD SITE DAY SEED: plays one day with one build, unless its report exists.
play() {
  local report seed=()
  report=$out/$1.$(basename "$2" .toml).$3.$4.json
  [ -s "$report" ] && return
  [ "$4" = 0 ] || seed=(--seed "$4")
  (cd "$out/$1" && "$bench" run "$2" "$3" "${seed[@]}" --no-cpu --jobs 1 --report "$report" --why "$why ($1, seed $4)") >"${report%.json}.txt" 2>&1 || true
}
export -f play
export bench out why

checkout old "$old"
checkout new "$new"
for place in "$@"; do
  for seed in ${seeds//,/ }; do
    printf '%s\0' "old ${place%%:*} ${place##*:} $seed" "new ${place%%:*} ${place##*:} $seed"
  done
done | xargs -0 -n 1 -P "$jobs" bash -c 'play $0'
cp -rn "$out"/old/journal/. "$out"/new/journal/. journal/

# worths REPORT: prints the day's worth, its parts and the sum of the prices of broken rules, as one line.
worths() {
  jq -r '[.G, (.parts[] | .[2]), ([.prices[] | .[2]] | add)] | map(. * 1000 | round / 1000) | @tsv' "$1"
}

printf 'place\tseed\tdifference\told: worth, parts, prices\tnew\n'
for place in "$@"; do
  for seed in ${seeds//,/ }; do
    name=$(basename "${place%%:*}" .toml).${place##*:}.$seed
    if [ ! -s "$out/old.$name.json" ] || [ ! -s "$out/new.$name.json" ]; then
      printf '%s\t%s\tnot played\n' "$place" "$seed"
      continue
    fi
    difference=$(jq -n --slurpfile a "$out/old.$name.json" --slurpfile b "$out/new.$name.json" '$b[0].G - $a[0].G | . * 1000 | round / 1000')
    printf '%s\t%s\t%s\t%s\t|\t%s\t%s\n' "$(basename "$place")" "$seed" "$difference" "$(worths "$out/old.$name.json")" "$(worths "$out/new.$name.json")" \
      "$(grep -ho 'BROKEN.*' "$out/old.$name.txt" "$out/new.$name.txt" | tr '\n' ' ')"
  done
done | tee "$out/differences.tsv"
awk -F'\t' '$3 ~ /^-?[0-9.]+$/ { d[n++] = $3; sum += $3 }
  END {
    if (n < 2) { exit }
    srand(1)
    for (b = 0; b < 2000; b++) { s = 0; for (i = 0; i < n; i++) s += d[int(rand() * n)]; means[b] = s / n }
    for (i = 1; i < 2000; i++) { v = means[i]; for (j = i - 1; j >= 0 && means[j] > v; j--) means[j + 1] = means[j]; means[j + 1] = v }
    printf "mean %+.4f of %d pairs, 90 %% interval %+.4f to %+.4f\n", sum / n, n, means[100], means[1899]
  }' "$out/differences.tsv"
