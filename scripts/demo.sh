#!/usr/bin/env bash
# The README's first command: builds the programs into ./bin and brings up the two
# deployments of ./deploy, one after the other, as real processes on loopback
# addresses. Each is asked something as a caller and as an operator, and stopped.
set -Eeuo pipefail
cd "$(dirname "$0")/.."

. scripts/deployment.sh

# give_up stops what runs and shows where to look.
give_up() {
  echo "demo failed; the logs are in $logs" >&2
  grep -h 'level=error' "$logs"/*.log >&2 || true
  stop_all || true
}

# begin NAME: brings a deployment up, with its logs below ./run.
begin() {
  echo "== $1: stand-ins, 7 gateways and 7 agents; the declaration"
  logs=run/$1
  bring_up "deploy/$1"
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
begin wellness
as clinic-review ask --model lilac-nurse --max-tokens 48 \
  "Monthly sleep review. Nights: 23:40-06:10, 01:15-05:50, 22:55-06:30. Write a summary for the clinic."
as residents-app call --key POST /sleeplog/uploads '{"resident":"r-204","night":"2026-11-30","asleep":"23:41","awake":"06:12"}'
as residents-app call GET /sleeplog/exports/r-204
echo "== eleni: st"
bin/lilacweir run -c deploy/wellness/operator.yaml st
stop_all

export LILACWEIR_KEY=key-linh
begin minibar
as chung-restock ask --model restock-llm --max-tokens 32 "Restock list for room 1204: 2 beers, 1 water and the cashews are gone."
as hanoi-desks call --key POST /ledger/charges '{"room":"1204","items":["beer","beer","water"]}'
echo "== linh: st"
bin/lilacweir run -c deploy/minibar/operator.yaml st
stop_all
echo "== both deployments stopped cleanly"
