#!/usr/bin/env bash
# The regression runs: scores each deployment in turn and prints whether its gate passed
# and the worth of each day. docs/DEVELOPERS.md lists the deployments to run.
# Usage: scripts/regress.sh BENCH JOBS WHY SITE...
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 4 ]; then
  echo "usage: scripts/regress.sh BENCH JOBS WHY SITE..." >&2
  exit 2
fi
bench=$1 jobs=$2 why=$3
shift 3
status=0
for site in "$@"; do
  out=$("$bench" score "$site" --jobs "$jobs" --why "$why" 2>&1) || status=1
  printf '%s\n' "$(basename "$site" .toml)"
  grep -E '^(GATE|(quiet|trouble|scale|fresh)-[0-9a-f]+ +[0-9])' <<<"$out" || status=1
  grep -q '^GATE passed' <<<"$out" || status=1
done
exit "$status"
