package acceptor

import (
	"cmp"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/budgeter"
)

const (
	// goShare is the part of a VM's memory that the Go runtime may use, as a soft limit; restBytes is what a process at rest uses of
	// it. The difference is what clients can be given.
	goShare   = 0.6
	restBytes = 30 << 20
	// bodyShare and connectionShare are the parts of the difference for what callers have sent and for their connections. The
	// rest is for garbage that is not yet collected, VMs and jobs; outputShare is the part for the outputs of batch items.
	bodyShare       = 0.5
	connectionShare = 0.25
	outputShare     = 0.25
	// minOutputBytes is the least for outputs: several of the longest that an item may have.
	minOutputBytes = 8 << 20
	// minBodyBytes is the least that callers get: a submission of 4 MiB with what is decoded from it fits into the share of large
	// requests.
	minBodyBytes = 24 << 20
	// connectionBytes is what one connection needs: two buffers of 4 KiB, the stacks of its goroutines and its head.
	connectionBytes = 20 << 10
	// smallShare is the part of the budget that only small requests may use; smallBytes is the size up to which one is small.
	// Ordinary requests have 2 KB.
	smallShare = 0.25
	smallBytes = 16 << 10
	// shedAfter is how long a body must have made no progress to be given up for others. On the slowest link, of 22 Mbit/s, 4 KiB
	// take 1.5 ms, so 600 bodies at once keep within it.
	shedAfter = time.Second
	// DefaultStallTime is how long a body, or an answer, may make no progress if the settings don't say.
	DefaultStallTime = 30 * time.Second
	// fileDescriptors are those of the platform for files, storeDescriptors those for calls of the store and for datagrams.
	fileDescriptors  = 200
	storeDescriptors = 64
	// CheckConnections bounds the connections of the ports for readiness checks and for the scraper, each.
	CheckConnections = 32
	// minConnections is the least number of callers' connections.
	minConnections = 64
	// defaultMemory and defaultDescriptors are those of a VM whose settings don't say: the least of the platform.
	defaultMemory      = 144 << 20
	defaultDescriptors = 3075
)

// ClientLimits bound what clients may take of a VM.
type ClientLimits struct {
	// Budget bounds the bytes that are held for callers.
	Budget budgeter.Limits
	// Connections bounds the connections of callers.
	Connections int
	// Outputs bounds the bytes of the outputs of batch items that the VM holds.
	Outputs int64
}

// VM says what a VM has for its clients; what is 0 is not set.
type VM struct {
	// Memory is in bytes, and Descriptors is the number of descriptors, of which Peers are for other VMs.
	Memory             int64
	Descriptors, Peers int
	// Stall is how long a body or an answer may make no progress. Bytes and Connections replace what is derived from the memory and
	// the descriptors.
	Stall       time.Duration
	Bytes       int64
	Connections int
}

// Limits returns the limits for the VM's clients. A VM of unknown memory or descriptors counts as one with the least of the
// platform.
func (v VM) Limits() ClientLimits {
	memory, descriptors := cmp.Or(v.Memory, defaultMemory), cmp.Or(v.Descriptors, defaultDescriptors)
	stall := cmp.Or(v.Stall, DefaultStallTime)
	free := max(0, goShare*float64(memory)-restBytes)
	budget := cmp.Or(v.Bytes, max(int64(bodyShare*free), minBodyBytes))
	// A request in flight needs a descriptor for its caller and one for its endpoint.
	byDescriptors := (descriptors - fileDescriptors - storeDescriptors - 2*CheckConnections - v.Peers) / 2
	byMemory := int(connectionShare * free / connectionBytes)
	return ClientLimits{
		Budget: budgeter.Limits{
			Bytes: budget, SmallShare: int64(smallShare * float64(budget)), SmallHold: smallBytes,
			ShedAfter: min(shedAfter, stall), StalledAfter: stall,
		},
		Connections: cmp.Or(v.Connections, max(minConnections, min(byDescriptors, byMemory))),
		Outputs:     max(int64(outputShare*free), minOutputBytes),
	}
}
