// Package limiter holds each account to its limits, with every VM counting alone.
//
// A VM grants the account's rate divided by the number of live VMs. Summed over the fleet the long-run rate is
// exact; what can be off is the burst, at most one second's worth or one request a VM, and an account whose
// callers the balancer sends unevenly is refused early by as much as its share is uneven.
package limiter
