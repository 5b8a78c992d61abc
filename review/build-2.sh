#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The project's own ones are part of target/cuminwheel,
# which the build of the deploy file makes; it is built here too if it is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/cuminwheel ]; then
	go build -ldflags=-linkmode=external -o target/ ./cmd/...
fi
cd review/second
go build -o ../../target/review-second .
