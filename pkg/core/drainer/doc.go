// Package drainer decides which requests a stopping VM still accepts.
//
// Load pattern: all VMs are restarted one after the other under steady load. Callers keep their connections, and the load
// balancer falls back to VMs that are not ready when most VMs of an availability zone are stopping, so new requests arrive
// until the process is gone. Without an end of admission there is always one in flight when the grace period is over.
package drainer
