#!/usr/bin/env bash
# Measures the overhead of a gateway in the wellness deployment as real processes: the
# latency that it adds to a short call, at about a quarter of a gateway's load, in five
# runs of alternating direct and relayed calls; and the chunks relayed per second of
# processor time, as a ratio to direct streaming.
#
# Usage: scripts/measure-speed.sh [NET]: the second octet of all addresses (10).
set -Eeuo pipefail
cd "$(dirname "$0")/.."

net=${1:-10}
runs=5
rate=200 # calls a second, direct and relayed together
length=15s
run=$(mktemp -d)
logs=$run/logs
. scripts/deployment.sh

finish() {
  stop_all || true
  rm -rf "$run"
}
trap finish EXIT

mkdir -p bin
go build -o bin/ ./cmd/...
bin/lilacweir-standin plan deploy/wellness/topology.yaml --net "$net" --out "$run"
export LILACWEIR_KEY=key-eleni
bring_up "$run" >"$run/apply.log"

# address_of UPSTREAM: prints its address in the declaration.
address_of() { grep -A6 "name: $1\$" "$run/declaration.yaml" | sed -n 's/^ *address: *//p' | head -1; }

callers=$(address "$run/kal-1.yaml" callers)
for ((n = 1; n <= runs; n++)); do
  echo "== overhead, run $n; load average $(cut -d' ' -f1-3 /proc/loadavg)"
  LILACWEIR_CALLER_KEY=key-residents-app bin/lilacweir-load overhead -g "$callers" \
    --direct "$(address_of sleeplog-kal-1)" --path /sleeplog/exports/r-1 --rate "$rate" --for "$length" --seed "$n"
done
echo "== chunks; load average $(cut -d' ' -f1-3 /proc/loadavg)"
LILACWEIR_CALLER_KEY=key-residents-app bin/lilacweir-load chunks -g "$callers" \
  --direct "$(address_of nurse-kal-1)" --model lilac-nurse --pid "${started[kal-1-gateway]}" --pid "${started[standin]}"
