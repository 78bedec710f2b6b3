# Targets: demo and test need nothing but Go, a C compiler and make.
.PHONY: build demo test lint tools measure capacity load settings linkage

BIN := bin
GOFUMPT := mvdan.cc/gofumpt@v0.12.0
REVIVE := github.com/mgechev/revive@v1.16.0
# Tests listed in KNOWN-RED.txt are passed over, and nothing else is.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

build:
	CGO_ENABLED=1 go build -tags netcgo -o $(BIN)/ ./cmd/... ./platform/cmd/...

# Runs a small deployment as separate processes and shows what it does.
demo: build
	$(BIN)/standin demo --product $(BIN)/cyclamenward --standin $(BIN)/standin

# Everything that CI needs. The verdict is the same at each run.
test: build
	@if [ -n "$(KNOWN_RED)" ]; then echo "passed over, see KNOWN-RED.txt: $(KNOWN_RED)"; fi
	CYCLAMENWARD_BIN=$(abspath $(BIN)) go test -race -count=1 $(SKIP) ./...

tools:
	GOBIN=$(abspath $(BIN)/tools) go install $(GOFUMPT)
	GOBIN=$(abspath $(BIN)/tools) go install $(REVIVE)

lint: tools
	@unformatted="$$($(BIN)/tools/gofumpt -l .)"; if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(BIN)/tools/revive -set_exit_status ./...
	go vet ./...

# Checks that the product is linked to the C library dynamically.
linkage: build
	@ldd $(BIN)/cyclamenward | grep -q 'libc\.so' || { echo "cyclamenward is not linked to the C library"; exit 1; }
	@echo "linkage: ok"

# Writes the reference page of all settings.
settings: build
	$(BIN)/cyclamenward settings > docs/SETTINGS.md

# Compares the routing policy with its baselines in virtual time; the same table
# at each run, in docs/measure.
measure:
	go run ./cmd/measure

# Measures the slopes behind docs/CAPACITY.md.
capacity:
	go run ./cmd/capacity

# Drives streams through a deployment of separate processes.
load: build
	$(BIN)/standin load --product $(BIN)/cyclamenward --standin $(BIN)/standin
