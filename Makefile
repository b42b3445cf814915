GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod

.PHONY: build test lint try shake soak generate measure-relay measure-overload measure-keepwarm measure-pace measure-peers

build:
	$(GO) build -o bin/bronzestall ./cmd/bronzestall
	$(GO) build -o bin/standin ./internal/standin/cmd/standin

# SKIP is the list of known failing tests, as a regular expression, from the lines "Skip: NAME" of
# KNOWN-RED.txt. .ci/run prints the entries of that file.
SKIP := $(shell sed -n 's/^ *Skip: *//p' KNOWN-RED.txt | paste -sd'|')

test:
	$(GO) test -race -timeout 20m $(if $(SKIP),-skip '^($(SKIP))$$') ./...
	$(GO) test -run '^TestShortage$$' ./relay

lint:
	test -z "$$($(TOOL) gofumpt -l .)" || { $(TOOL) gofumpt -l .; exit 1; }
	$(TOOL) revive -set_exit_status ./...
	$(GO) vet ./...

# try starts four daemons and stand-ins on this machine, sends requests and checks the responses.
try: build
	bash scripts/try.sh

# shake runs the fault-injection test: processes are killed and suspended, the platform fails and
# connections stall under load. It takes about a minute.
shake: build
	bash scripts/shake.sh

# measure-relay measures the latency that a daemon adds to streamed responses.
measure-relay: build
	bash scripts/measure-relay.sh

# measure-overload measures goodput and the isolation of tenants under overload.
measure-overload: build
	bash scripts/measure-overload.sh

# generate generates the Go code of the proto files.
generate:
	$(call protobuf,peer/peerpb,peer.proto)
	$(call protobuf,keepwarm/statisticspb,statistics.proto)
	$(call protobuf,mesh/meshpb,mesh.proto)
	$(call protobuf,lending/lendingpb,lending.proto)

# protobuf generates the Go code of the proto file $(2) in the folder $(1), into the same folder.
define protobuf
$(GO) run ./internal/cmd/protogen request $(1)/$(2) | $(TOOL) protoc-gen-go | $(GO) run ./internal/cmd/protogen write $(1)
endef

# measure-pace compares the choice of replicas by pace with the one without, in virtual time.
measure-pace:
	$(GO) run ./internal/cmd/measure pace

# measure-keepwarm measures keep-warm policies on simulated workloads.
measure-keepwarm:
	$(GO) run ./internal/cmd/measure keepwarm

# measure-peers measures the traffic between daemons and how long it takes until all daemons agree.
measure-peers:
	$(GO) run ./internal/cmd/measure peers -for 6s -ways mesh
	$(GO) run ./internal/cmd/measure peers -for 6s -ways digests
	$(GO) run ./internal/cmd/measure peers -for 6s -ways none
	$(GO) run ./internal/cmd/measure peers -for 6s -ways digests -daemons 64 -fanout 1
	$(GO) run ./internal/cmd/measure peers -for 6s -ways digests -daemons 8,16,32 -datacentres 5
	$(GO) test ./peer -run Convergence -v -daemons 4,8,16,32,64

# soak runs one seed of the randomised fault-injection test for HOURS hours of simulated time.
SEED ?= 1
HOURS ?= 0.5

soak:
	$(GO) test ./internal/soak -run TestSoak -v -timeout 0 -seed $(SEED) -hours $(HOURS)
