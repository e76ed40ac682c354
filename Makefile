# Build, test and measurement targets of toucanroute. `make demo` runs a demonstration, `make test` runs all checks.

GOLANGCI_VERSION    := v2.15.0
GOFUMPT_VERSION     := v0.12.0
JSONSCHEMA_VERSION  := v0.24.1
GOPLS_VERSION       := v0.23.0

BIN     := $(CURDIR)/bin
SCHEMAS := config objects engine platform peer caller status burn arrival settings keyring questionnaire records
PACKAGES := ./...

.PHONY: build demo test unit cost soak lint fmt tools generate bench capacity clean

build:
	go build -o $(BIN)/ ./cmd/...

$(BIN)/golangci-lint:
	GOBIN=$(BIN) GOWORK=off go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

$(BIN)/gofumpt:
	GOBIN=$(BIN) GOWORK=off go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)

$(BIN)/go-jsonschema:
	GOBIN=$(BIN) GOWORK=off go install github.com/atombender/go-jsonschema@$(JSONSCHEMA_VERSION)

# gopls renames an identifier together with all its uses.
$(BIN)/gopls:
	GOBIN=$(BIN) GOWORK=off go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

tools: $(BIN)/golangci-lint $(BIN)/gofumpt $(BIN)/go-jsonschema $(BIN)/gopls

# generate generates the Go types of wire/ and platform/message from their JSON schemas; the output is committed.
generate: $(BIN)/go-jsonschema
	for n in $(SCHEMAS); do \
		$(BIN)/go-jsonschema --struct-name-from-title --only-models --tags json -p wire \
			-o wire/$$n.go wire/schema/$$n.schema.json || exit 1; \
	done
	$(BIN)/go-jsonschema --struct-name-from-title --only-models --tags json -p message \
		-o platform/message/message.go platform/schema/message.schema.json

fmt: $(BIN)/gofumpt
	$(BIN)/gofumpt -w $$(git ls-files --cached --others --exclude-standard '*.go' | grep -v '^wire/')

lint: $(BIN)/golangci-lint
	$(BIN)/golangci-lint run --allow-parallel-runners ./...
	cd tools && $(BIN)/golangci-lint run --allow-parallel-runners --config ../.golangci.yml ./...

# UNRACED are the packages in whose tests the race detector itself crashes on arm64.
UNRACED := process/gateway

unit:
	go vet ./... ./tools/...
ifeq ($(shell go env GOARCH),arm64)
	go run ./tools/testrun -- ./$(UNRACED)
	go run ./tools/testrun -- -race $$(go list ./... ./tools/... | grep -v '/$(UNRACED)$$')
else
	go run ./tools/testrun -- -race ./... ./tools/...
endif

# test runs all checks: build, vet, linter, unit tests with the race detector, scenarios.
test: build lint unit cost

# cost checks the cost of log lines, without the race detector, which makes them several times as expensive.
cost:
	go test -count=1 -run TestLinesAreCheap ./cmd/toucanrouted

# soak (docs/PROOF.md) injects faults into real daemons by schedules generated from seeds.
# `make soak SEEDS=50 FIRST=1000` runs 50 seeds, beginning with 1000.
SEEDS ?= 5
FIRST ?= 1
soak:
	go test -count=1 -timeout 0 -v -run TestSoak ./platform/soak -args -failed -seeds $(SEEDS) -first $(FIRST)

# demo starts a whole deployment on loopback, sends a mixed load and prints how well the service-level targets were met.
demo:
	go run ./tools/demo

# bench compares the scheduling with baseline policies under the same loads and faults, and requests through an instance
# with requests sent directly to an engine.
bench:
	go run ./tools/bench policy
	go run ./tools/bench speed

# capacity measures on this machine how costs grow with the deployment and rewrites the tables of docs/CAPACITY.md.
capacity:
	go run ./tools/capacity

clean:
	rm -rf $(BIN) out
