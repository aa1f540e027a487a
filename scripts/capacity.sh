#!/usr/bin/env bash
# Runs the benchmarks that docs/CAPACITY.md is calculated from (about 40 minutes),
# records their output in docs/capacity/measured.txt, and regenerates the page's tables.
# With "tables" it only regenerates the tables from the recorded output.
set -euo pipefail
cd "$(dirname "$0")/.."
record=docs/capacity/measured.txt
page=docs/CAPACITY.md

# run ARGS: runs benchmarks and prints the command with their results.
run() {
  echo "# go test -run '^\$' $*"
  go test -run '^$' "$@" | grep -E '^(Benchmark|goos|goarch|cpu|FAIL|--- FAIL)' | sed -E 's/[ \t]+/ /g'
}

measure() {
  echo "# Recorded by scripts/capacity.sh; read by lilacweir-load fit and lilacweir-load capacity."
  echo "# $(date -u '+%Y-%m-%d %H:%M UTC'), commit $(git rev-parse --short HEAD)"
  echo "# $(uname -sr), $(nproc) processors, $(awk '/MemTotal/ {printf "%.0f GB", $2 / 1e6}' /proc/meminfo), $(go version | cut -d' ' -f3)"
  echo "# load average at the start: $(cut -d' ' -f1-3 /proc/loadavg)"
  for benchmark in Nodes Domains OneOf41 FixedDomains Requests Restarts Lost; do
    run -bench "^Benchmark$benchmark\$" -benchtime 1x -timeout 60m ./test/capacity
  done
  run -bench . -benchtime 100ms -count 3 ./pkg/agent ./pkg/route ./pkg/admission ./pkg/config ./pkg/digest
  run -bench 'RecordMemory|Handover' -benchtime 3x ./pkg/claim
  echo "# load average at the end: $(cut -d' ' -f1-3 /proc/loadavg)"
}

# tables replaces the text between the markers in the page, and the page of the series.
tables() {
  local text
  text=$(mktemp)
  go run ./cmd/lilacweir-load capacity "$record" >"$text"
  sed -i -e "/<!-- begin capacity -->/,/<!-- end capacity -->/{/<!-- begin capacity -->/r $text
/<!-- begin capacity -->/b
/<!-- end capacity -->/b
d}" "$page"
  {
    printf '# Measured series\n\nWritten by `scripts/capacity.sh` from `measured.txt`, which has the commands.\n\n'
    go run ./cmd/lilacweir-load fit "$record"
  } >docs/capacity/SERIES.md
  rm -f "$text"
}

if [ "${1:-}" != tables ]; then
  fresh=$(mktemp)
  measure | tee "$fresh"
  mv "$fresh" "$record"
fi
tables
