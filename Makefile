# Targets for developers and CI; the README says when to use each.
SHELL := /bin/bash
GOLANGCI_LINT_VERSION := v2.15.0
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo dev)
LDFLAGS := -X github.com/dogwoodledge/dogwoodledge/pkg/commander.Version=$(VERSION)

.PHONY: build demo check crowd bench prove soak mutate beside slopes lint tools generate clean

build:
	go build -ldflags '$(LDFLAGS)' -o bin/ ./cmd/...

demo: build
	scripts/demo.sh

# check runs all tests; those of ./prove use programs built under the race detector.
check: build
	go vet ./...
	go test $$(go list ./... | grep -v -e /prove -e /crowd)
	$(MAKE) crowd
	$(MAKE) prove

# crowd sends crowds of clients outside the limits to a VM, one at a time and apart from other tests: it checks memory.
crowd:
	go test -count=1 ./crowd

# prove runs the tests of docs/PROOFS.md that use real processes.
prove:
	scripts/prove.sh

# soak runs VMs as processes under faults drawn from random seeds; SEEDS=n sets their number, SEED=n runs one seed again.
SEEDS ?= 20
soak:
	SOAK_RACE=1 SEEDS=$(SEEDS) SEED=$(SEED) go test -count=1 -timeout 60m -parallel 3 -run TestSoak -v ./soak

# mutate checks for each mutation that its test fails when the mechanism is disabled in a copy of the source.
mutate:
	go test -tags mutate -run TestMutations -timeout 60m -v ./prove

# beside runs VMs of commit BASE beside VMs of the work tree and fails if they don't understand each other.
BASE ?=
beside:
	scripts/beside.sh '$(BASE)'

# bench measures the scheduling decisions in virtual time and fails if a bound is not met.
bench:
	go run ./cmd/bench

# slopes measures the costs that docs/CAPACITY.md uses.
slopes: build
	scripts/slopes.sh
	go run ./cmd/bench cost

lint:
	golangci-lint fmt --diff
	golangci-lint run

tools:
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

# generate regenerates the committed code of the VM-to-VM messages; only this target needs protoc and its plugins.
generate:
	protoc -I pkg/messenger/wire --go_out=pkg/messenger/wire --go_opt=paths=source_relative \
		--go-grpc_out=pkg/messenger/wire --go-grpc_opt=paths=source_relative vm.proto

clean:
	rm -rf bin tmp
