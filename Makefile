LINT_VERSION := v2.15.0
BIN := $(shell go env GOPATH)/bin
# Tests listed in KNOWN-RED.txt are skipped. .ci/run prints them.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

# Size and seed of the longer runs.
KEYS ?= 1000
SEED ?= 1

.PHONY: soak fuzz faults bench-placement generate run test bench build fmt fmt-check lint smoke tools

run: ## run a whole fleet with embedded stand-ins
	go run ./cmd/banyanrail dev

test: ## run all tests with the race detector
	go test -race $(SKIP) ./...

soak: ## run processes under faults, longer history checks and waves under load; takes minutes
	go test ./soak -count=1 -timeout 60m -soak.seeds 50 -soak.restarts 50 -soak.seed $(SEED) -soak.parallel 4
	go test -run '^$$' -bench Move -benchtime 1x -timeout 20m ./dev
	for step in 1 4 8; do go run ./cmd/banyanrail experiment wave --max-step $$step || exit 1; done
	go test -run '^TestClaimHistory$$' -count=1 -timeout 30m -v ./dev -keys=$(KEYS) -entries=9 -rounds=10 -seed=$(SEED)
	go test -run '^TestClaimHistory$$' -count=1 -timeout 30m -v ./dev -keys=$(KEYS) -entries=9 -rounds=10 -seed=$(SEED) -holder=false
	go test -run '^TestClaimsHoldUnderAnyOrder$$' -count=1 -timeout 30m -v ./reduce -rapid.checks=20000 -rapid.seed=$(SEED)
	go test -run '^TestFleetHoldsUnderAnyOrder$$' -count=1 -timeout 30m ./reduce -rapid.checks=4000 -rapid.seed=$(SEED)
	go test -run 'Fold|Delta' -count=1 -timeout 30m ./reduce/control ./fleet -rapid.checks=20000 -rapid.seed=$(SEED)

fuzz: ## fuzz the decoders and the services text, a minute each
	go test -run '^$$' -fuzz '^FuzzParse$$' -fuzztime 1m ./services
	go test -run '^$$' -fuzz '^FuzzDecode$$' -fuzztime 1m ./codec
	go test -run '^$$' -fuzz '^FuzzDecodeClaims$$' -fuzztime 1m ./codec
	go test -run '^$$' -fuzz '^FuzzDecode$$' -fuzztime 1m ./peer
	go test -run '^$$' -fuzz '^FuzzDecodeSpec$$' -fuzztime 1m ./codec
	go test -run '^$$' -fuzz '^FuzzDecodeLedger$$' -fuzztime 1m ./codec
	go test -run '^$$' -fuzz '^FuzzClientCall$$' -fuzztime 1m ./platform
	go test -run '^$$' -fuzz '^FuzzRecords$$' -fuzztime 1m ./platform

bench:
	go test -short -run '^$$' -bench . -benchmem ./...

bench-placement: ## run the burst experiment with both placements, about a minute
	for p in local holder; do go run ./cmd/banyanrail experiment burst --placement $$p || exit 1; done
	go run ./cmd/banyanrail experiment burst --rate 640 --kill-after 3s

build:
	go build -o bin/ ./cmd/...

smoke: build ## send requests through a fleet of separate processes
	scripts/smoke

faults: build ## kill and pause entries that run as processes, under load
	scripts/faults

# Needs protoc, protoc-gen-go and protoc-gen-go-grpc.
generate:
	PATH="$(BIN):$$PATH" protoc -I peer --go_out=. --go_opt=module=github.com/banyanrail/banyanrail \
	  --go-grpc_out=. --go-grpc_opt=module=github.com/banyanrail/banyanrail peer/peer.proto

tools:
	@test -x $(BIN)/golangci-lint || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

fmt: tools
	$(BIN)/golangci-lint fmt

fmt-check: tools
	$(BIN)/golangci-lint fmt --diff

lint: tools
	go vet ./...
	$(BIN)/golangci-lint run --allow-parallel-runners
