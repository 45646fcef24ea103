// Package soak runs VMs as processes before stand-ins of the platform, with faults of a seed from outside, and checks what
// callers and endpoints see. All of it is in test files; `make soak` runs it.
package soak
