#!/usr/bin/env bash
# The README's first command: builds the programs into ./bin and starts the two
# deployments of ./deploy, one after the other, as real processes on loopback
# addresses. It sends requests to each as callers and as an operator, and stops it.
set -Eeuo pipefail
cd "$(dirname "$0")/.."

. scripts/deployment.sh

# report_failure stops all processes and prints the directory and errors of the logs.
report_failure() {
  echo "demo failed; the logs are in $logs" >&2
  grep -h 'level=error' "$logs"/*.log >&2 || true
  stop_all || true
}

# start_deployment NAME: starts a deployment, with its logs below ./run.
start_deployment() {
  echo "== $1: stand-ins, 7 gateways and 7 agents; the declaration"
  logs=run/$1
  bring_up "deploy/$1"
}

# send_as CALLER COMMAND ARGS: sends a request as a caller, through the first gateway
# with the others as fallbacks.
send_as() {
  local caller=$1
  shift
  echo "== $caller: $1 $2"
  LILACWEIR_CALLER_KEY=key-$caller bin/lilacweir "$1" -v "${gateways[@]}" "${@:2}"
  echo
}

trap report_failure ERR
mkdir -p bin run
go build -o bin/ ./cmd/...

export LILACWEIR_KEY=key-eleni
start_deployment wellness
send_as clinic-review ask --model lilac-nurse --max-tokens 48 \
  "Monthly sleep review. Nights: 23:40-06:10, 01:15-05:50, 22:55-06:30. Write a summary for the clinic."
send_as residents-app call --key POST /sleeplog/uploads '{"resident":"r-204","night":"2026-11-30","asleep":"23:41","awake":"06:12"}'
send_as residents-app call GET /sleeplog/exports/r-204
echo "== eleni: st"
bin/lilacweir run -c deploy/wellness/operator.yaml st
stop_all

export LILACWEIR_KEY=key-linh
start_deployment minibar
send_as chung-restock ask --model restock-llm --max-tokens 32 "Restock list for room 1204: 2 beers, 1 water and the cashews are gone."
send_as hanoi-desks call --key POST /ledger/charges '{"room":"1204","items":["beer","beer","water"]}'
echo "== linh: st"
bin/lilacweir run -c deploy/minibar/operator.yaml st
stop_all
echo "== both deployments stopped cleanly"
