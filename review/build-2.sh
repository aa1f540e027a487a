#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6, 9 and 10 start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-harness2 ./review/harness2
