#!/usr/bin/env bash
# Builds the programs that the scripts of this folder start: the stand-ins and
# clients of review/cases, and the project's own program with its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
mkdir -p target/review
cd review
go build -o ../target/review/ ./cases
