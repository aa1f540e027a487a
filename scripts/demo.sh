#!/usr/bin/env bash
# The README's first command: builds the programs into ./bin and brings up the two
# deployments of ./deploy, one after the other, as real processes on loopback
# addresses. Each is asked something as a caller and as an operator, and stopped.
set -Eeuo pipefail
cd "$(dirname "$0")/.."

declare -A started # process id by name

# start NAME PROGRAM ARGS: starts a process that logs to its own file.
start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  started[$name]=$!
}

# stop_all stops what was started, gateways and agents before the stand-ins, and
# fails when one did not exit cleanly.
stop_all() {
  local name failed=0
  for name in "${!started[@]}"; do
    [ "$name" = standin ] || kill -TERM "${started[$name]}" 2>/dev/null || true
  done
  for name in "${!started[@]}"; do
    [ "$name" = standin ] || wait "${started[$name]}" || { echo "$name exited with $?" >&2; failed=1; }
  done
  if [ -n "${started[standin]:-}" ]; then
    kill -TERM "${started[standin]}" 2>/dev/null || true
    wait "${started[standin]}" || { echo "standin exited with $?" >&2; failed=1; }
  fi
  started=()
  return $failed
}

# give_up stops what runs and shows where to look.
give_up() {
  echo "demo failed; the logs are in $logs" >&2
  grep -h 'level=error' "$logs"/*.log >&2 || true
  stop_all || true
}

# bring_up NAME: starts a deployment and applies its declaration.
bring_up() {
  local name=$1 file instance
  deployment=deploy/$name
  logs=run/$name
  gateways=()
  mkdir -p "$logs"
  echo "== $name: stand-ins, 7 gateways and 7 agents"
  start standin bin/lilacweir-standin run "$deployment/standin.yaml"
  for file in $(grep -l '^instance:' "$deployment"/*.yaml); do
    instance=$(basename "$file" .yaml)
    start "$instance-gateway" bin/lilacweir-gateway run "$file"
    start "$instance-agent" bin/lilacweir-agent run "$file"
    gateways+=(-g "$(sed -n 's/^ *callers: *//p' "$file")")
  done
  bin/lilacweir wait "${gateways[@]}" --state no-configuration --state serving --platform
  echo "== apply the declaration"
  bin/lilacweir apply -c "$deployment/operator.yaml" "$deployment/declaration.yaml"
  bin/lilacweir wait "${gateways[@]}"
}

# as CALLER COMMAND ARGS: sends a request as a caller, through the first gateway
# and the others as fallbacks.
as() {
  local caller=$1
  shift
  echo "== $caller: $1 $2"
  LILACWEIR_CALLER_KEY=key-$caller bin/lilacweir "$1" -v "${gateways[@]}" "${@:2}"
  echo
}

trap give_up ERR
mkdir -p bin run
go build -o bin/ ./cmd/...

export LILACWEIR_KEY=key-eleni
bring_up wellness
as clinic-review ask --model lilac-nurse --max-tokens 48 \
  "Monthly sleep review. Nights: 23:40-06:10, 01:15-05:50, 22:55-06:30. Write a summary for the clinic."
as residents-app call --key POST /sleeplog/uploads '{"resident":"r-204","night":"2026-11-30","asleep":"23:41","awake":"06:12"}'
as residents-app call GET /sleeplog/exports/r-204
echo "== eleni: st"
bin/lilacweir run -c deploy/wellness/operator.yaml st
stop_all

export LILACWEIR_KEY=key-linh
bring_up minibar
as chung-restock ask --model restock-llm --max-tokens 32 "Restock list for room 1204: 2 beers, 1 water and the cashews are gone."
as hanoi-desks call --key POST /ledger/charges '{"room":"1204","items":["beer","beer","water"]}'
echo "== linh: st"
bin/lilacweir run -c deploy/minibar/operator.yaml st
stop_all
echo "== both deployments stopped cleanly"
