GO ?= go
BIN := bin
GOFUMPT := $(GO) run mvdan.cc/gofumpt@v0.12.0
STATICCHECK := $(GO) run honnef.co/go/tools/cmd/staticcheck@v0.8.2
REVIVE := $(GO) run github.com/mgechev/revive@v1.17.0

.PHONY: build demo bench test lint format generate

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/lab demo

bench: build
	$(BIN)/lab bench --json bench.json

test: build
	HIBISCUSROCK_BIN=$(CURDIR)/$(BIN) $(GO) test -count=1 -timeout 15m ./...

lint:
	$(GO) vet ./...
	@unformatted=$$($(GOFUMPT) -l cmd pkg); if [ -n "$$unformatted" ]; then echo "run 'make format' on:"; echo "$$unformatted"; exit 1; fi
	$(STATICCHECK) ./...
	$(REVIVE) -config revive.toml -set_exit_status -exclude ./pkg/wire/... ./...

format:
	$(GOFUMPT) -w cmd pkg

generate:
	$(GO) generate ./...
