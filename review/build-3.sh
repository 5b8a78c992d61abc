#!/bin/sh
# Builds the driver of the scripts in review/11 to review/15, with the requesters, servers and
# the operator that it plays, and the program that has the project's stand-in for the store.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
cd review
go build -o ../target/review-third ./third
