// Package server answers callers, operators and other VMs.
package server
