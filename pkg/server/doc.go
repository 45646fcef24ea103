// Package server handles the HTTP requests of callers and operators and the gRPC calls of other VMs.
package server
