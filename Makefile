# Everything that a developer or CI runs; the README says when.
SHELL := /bin/bash
GOLANGCI_LINT_VERSION := v2.15.0
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo dev)
LDFLAGS := -X github.com/dogwoodledge/dogwoodledge/pkg/commander.Version=$(VERSION)

.PHONY: build demo check bench prove soak mutate beside slopes lint tools generate clean

build:
	go build -ldflags '$(LDFLAGS)' -o bin/ ./cmd/...

demo: build
	scripts/demo.sh

# check runs all tests; the whole system is proved with programs built under the race detector.
check: build
	go vet ./...
	go test $$(go list ./... | grep -v /prove)
	$(MAKE) prove

# prove runs the proofs of docs/PROOFS.md on real processes.
prove:
	scripts/prove.sh

# soak runs VMs as processes under faults of new seeds; SEEDS=n sets how many, SEED=n plays one again.
SEEDS ?= 20
soak:
	SOAK_RACE=1 SEEDS=$(SEEDS) SEED=$(SEED) go test -count=1 -timeout 60m -parallel 3 -run TestSoak -v ./soak

# mutate shows of each proof that it fails when its mechanism is taken out of a copy of the source.
mutate:
	go test -tags mutate -run TestMutations -timeout 60m -v ./prove

# beside runs VMs of commit BASE beside VMs of the work tree and fails when they don't understand each other.
BASE ?=
beside:
	scripts/beside.sh '$(BASE)'

# bench measures the decisions in virtual time and fails on a bound that is not met.
bench:
	go run ./cmd/bench

# slopes measures the costs that docs/CAPACITY.md works with.
slopes: build
	scripts/slopes.sh
	go run ./cmd/bench cost

lint:
	golangci-lint fmt --diff
	golangci-lint run

tools:
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

# generate makes the committed VM-to-VM code anew; only it needs protoc and its plugins.
generate:
	protoc -I pkg/messenger/wire --go_out=pkg/messenger/wire --go_opt=paths=source_relative \
		--go-grpc_out=pkg/messenger/wire --go-grpc_opt=paths=source_relative vm.proto

clean:
	rm -rf bin tmp
