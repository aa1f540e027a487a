#!/usr/bin/env bash
# The README's test command: format, vet, linter, then every test under the race detector.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  printf 'not formatted:\n%s\n' "$unformatted" >&2
  exit 1
fi
go vet ./...
go tool staticcheck ./...
go test -race -count=1 ./...
