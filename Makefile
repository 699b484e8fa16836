GO ?= go
BIN := bin

.PHONY: all build demo test lint format-check model bench soak capacity shares bench-load bench-dispatch
.PHONY: bench-entry bench-idle

all: build

build:
	@mkdir -p $(BIN)
	@$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	@$(GO) run ./internal/demo -bin $(BIN)

# Tests of clients that use up memory run alone, one after the other.
UNRULY := ^TestUnruly

# SKIP names tests to pass over; only CI sets it, from KNOWN-RED.txt.
test: build
	$(GO) test -count=1 -skip '$(UNRULY)$(if $(SKIP),|$(SKIP))' ./...
	$(GO) test -count=1 -p 1 -run '$(UNRULY)' $(if $(SKIP),-skip '$(SKIP)') ./platform ./node

format-check:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

model:
	@spec/check

bench-load:
	$(GO) run ./internal/loadlab/bench -span 120s -seeds 5 -plot docs/design/load.png

bench-dispatch:
	$(GO) test -run '^$$' -bench . -benchmem ./dispatch

shares:
	@$(GO) run ./internal/shares

capacity: build
	@$(GO) run ./internal/capacity -bin $(BIN)

soak:
	@$(GO) run ./internal/soak $(SOAK)

bench: bench-entry bench-idle bench-record bench-agreement bench-dispatch bench-load

bench-entry: build
	@$(GO) run ./internal/bench -bin $(BIN) entry

bench-idle: build
	@$(GO) run ./internal/bench -bin $(BIN) idle

.PHONY: bench-agreement
bench-agreement: build
	@$(GO) run ./internal/benchagreement -bin $(BIN)

.PHONY: bench-record
bench-record: build
	@$(GO) run ./internal/benchrecord -bin $(BIN)
