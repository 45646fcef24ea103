// Package wire is generated from vm.proto; `make generate` makes it anew.
package wire
