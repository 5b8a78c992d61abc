# `make setup` installs the test dependencies other than Go. `make test` runs all
# checks of CI.
GO ?= go
BIN := bin/cuminwheel
.PHONY: build demo test setup format vet lint unit spec fuzz measure clean

build:
	$(GO) build -o $(BIN) ./cmd/cuminwheel

demo: build
	./demo/run.sh $(BIN) bin/demo

test: setup format vet lint unit spec
	@echo "all checks passed"

setup:
	@command -v spin >/dev/null || { apt-get update -qq && apt-get install -y -qq spin gcc; }

format:
	@files=$$(gofmt -l .); if [ -n "$$files" ]; then echo "files not formatted by gofmt:"; echo "$$files"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -set_exit_status ./...

# The tests that KNOWN-RED.txt lists, as lines "test NAME ...", are passed over.
KNOWN_RED := $(shell awk '$$1 == "test" {printf "%s^%s$$", sep, $$2; sep = "|"}' KNOWN-RED.txt)

unit:
	$(GO) test -race -p 3 $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...

spec:
	./spec/check.sh

# Runs each fuzz test for FUZZTIME. `make unit` tries fixed mutations of their samples.
FUZZTIME ?= 10s
fuzz:
	@grep -rlE '^func Fuzz' --include='*_test.go' . | while read f; do \
		grep -oE '^func Fuzz[A-Za-z]+' $$f | cut -d' ' -f2 | while read t; do \
			$(GO) test ./$$(dirname $$f) -run '^$$' -fuzz "^$$t\$$" -fuzztime $(FUZZTIME) -parallel 2 </dev/null || exit 1; \
		done || exit 1; \
	done

measure: build
	$(BIN) experiment --seeds 8

clean:
	rm -rf bin
