#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, after the build of the deploy file. They are one
# program, which holds the stand-ins for clients and servers and the project's own one for the platform's store.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-harness ./review/harness
