GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod

.PHONY: build test lint try soak measure

build:
	$(GO) build -o bin/bronzestall ./cmd/bronzestall
	$(GO) build -o bin/standin ./internal/standin/cmd/standin

test:
	$(GO) test -race ./...

lint:
	test -z "$$($(TOOL) gofumpt -l .)" || { $(TOOL) gofumpt -l .; exit 1; }
	$(TOOL) revive -set_exit_status ./...
	$(GO) vet ./...

try: build
	bash scripts/try.sh
