GO ?= go
BIN := bin

.PHONY: bench-entry bench-idle
.PHONY: all build demo test lint format-check model bench soak capacity shares

all: build

build:
	@mkdir -p $(BIN)
	@$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	@$(GO) run ./internal/demo -bin $(BIN)

test: build
	$(GO) test ./...

format-check:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

model:
	@spec/check

shares:
	@$(GO) run ./internal/shares

capacity: build
	@$(GO) run ./internal/capacity -bin $(BIN)

bench-entry: build
	@$(GO) run ./internal/bench -bin $(BIN) entry

bench-idle: build
	@$(GO) run ./internal/bench -bin $(BIN) idle

.PHONY: bench-agreement
bench-agreement: build
	@$(GO) run ./internal/benchagreement -bin $(BIN)
