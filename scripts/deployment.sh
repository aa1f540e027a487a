# Starts deployments of stand-ins as real processes. It is sourced by other scripts.
# Processes are stopped by the id that they were started with.

declare -A started # process id by name
declare -a gateways # -g ADDRESS for each gateway

# start NAME PROGRAM ARGS: starts a process that logs to its own file in $logs.
start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  started[$name]=$!
}

# address FILE KEY: prints a listening address from an instance's settings.
address() { sed -n "s/^ *$2: *//p" "$1"; }

# bring_up DIRECTORY: starts the deployment with the settings in DIRECTORY, applies its
# declaration, and waits until every gateway serves.
bring_up() {
  local directory=$1 file instance
  gateways=()
  mkdir -p "$logs"
  start standin bin/lilacweir-standin run "$directory/standin.yaml"
  for file in $(grep -l '^instance:' "$directory"/*.yaml); do
    instance=$(basename "$file" .yaml)
    start "$instance-gateway" bin/lilacweir-gateway run "$file"
    start "$instance-agent" bin/lilacweir-agent run "$file"
    gateways+=(-g "$(address "$file" callers)")
  done
  bin/lilacweir wait "${gateways[@]}" --state no-configuration --state serving --platform
  bin/lilacweir apply -c "$directory/operator.yaml" "$directory/declaration.yaml"
  bin/lilacweir wait "${gateways[@]}"
}

# stop_all stops the started processes, gateways and agents before the stand-ins, and
# fails if one did not exit cleanly.
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
