#!/usr/bin/env bash
# Measures the control path of the wellness deployment as real processes: the time from
# the command of a change to "in force 7/7", on an intact network and with larisa-hall
# partitioned from the platform but not from the other domains; and the processor time,
# memory and traffic of each agent without requests.
#
# Usage: scripts/measure-agent.sh [NET]: the second octet of all addresses (10).
set -Eeuo pipefail
cd "$(dirname "$0")/.."

net=${1:-10}
rounds=10       # a drain and an undrain each
idle_seconds=30 # the idle sample
admin=127.$net.0.1:7000
operators=127.$net.1.1:8091
run=$(mktemp -d)
logs=$run/logs
. scripts/deployment.sh

finish() {
  stop_all || true
  rm -rf "$run"
}
trap finish EXIT

# change VERB: prints the milliseconds until the reply if it is in force 7/7, else the reply.
change() {
  local from to reply
  from=$(date +%s%N)
  reply=$(bin/lilacweir run -s "$operators" -o eleni "$1 nurse-per-1" | head -1)
  to=$(date +%s%N)
  case $reply in
    *"in force 7/7") echo "$(((to - from) / 1000000))" ;;
    *) echo "not in force everywhere: $reply" ;;
  esac
}

in_force() {
  local n
  for ((n = 0; n < rounds; n++)); do
    change drain
    change undrain
  done >"$run/times"
  if grep -v '^[0-9]*$' "$run/times"; then
    echo "$1: failed"
    return 1
  fi
  sort -n "$run/times" | awk -v name="$1" '{ t[NR] = $1 }
    END { printf "%s: %d changes, in force 7/7 after ms: least %d, median %d, most %d\n", name, NR, t[1], t[int((NR + 1) / 2)], t[NR] }'
}

# sample prints for each agent: name, clock ticks, resident kB, bytes received and sent.
sample() {
  local name id operators
  for name in "${!started[@]}"; do
    [[ $name == *-agent ]] || continue
    id=${started[$name]}
    operators=$(address "$run/${name%-agent}.yaml" operators)
    echo "$name $(awk '{ print $14 + $15 }' "/proc/$id/stat")" \
      "$(awk '/^VmRSS/ { print $2 }' "/proc/$id/status")" \
      "$(curl -s "http://$operators/metrics" | awk '/^lilacweir_agent_bytes_links_received/ { r = $2 }
        /^lilacweir_agent_bytes_links_sent/ { s = $2 } END { printf "%d %d", r, s }')"
  done | sort
}

mkdir -p bin
go build -o bin/ ./cmd/...
bin/lilacweir-standin plan deploy/wellness/topology.yaml --net "$net" --out "$run"
export LILACWEIR_KEY=key-eleni
bring_up "$run" >"$run/apply.log"

echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
in_force "whole network"
bin/lilacweir-standin ctl "$admin" cut larisa-hall platform both
in_force "larisa-hall cut off from the platform"
bin/lilacweir-standin ctl "$admin" heal larisa-hall platform both

sample >"$run/before"
sleep "$idle_seconds"
sample >"$run/after"
ticks=$(getconf CLK_TCK)
join "$run/before" "$run/after" | awk -v s="$idle_seconds" -v hz="$ticks" '
  { printf "%s idle: %.2f %% of a core, %.1f MB resident, %d B/s received, %d B/s sent\n",
    $1, 100 * ($6 - $2) / hz / s, $7 / 1024, ($8 - $4) / s, ($9 - $5) / s }'
