// Package soak runs VMs as processes against stand-ins of the platform, injects faults drawn from a seed, and checks what
// callers and endpoints observe. All of it is in test files; `make soak` runs it.
package soak
