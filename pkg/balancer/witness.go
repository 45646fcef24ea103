package balancer

import (
	"slices"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
)

// Witness tells failures of endpoints from failures of this VM's own links to them.
type Witness interface {
	// HasHeardSince reports whether the VM is in touch with the endpoints, and one has shown life since the time.
	HasHeardSince(at time.Time) bool
	// IsPartitioned reports whether the VM reaches no endpoint, or has not taken its load back yet.
	IsPartitioned() bool
}

// doubtTime is how long a failure waits for a sign of life of any endpoint before it is reported without one. A partition is seen
// within it.
const doubtTime = time.Second

// arrivalTime is how long bytes of other endpoints may still arrive after all links have failed.
const arrivalTime = 30 * time.Millisecond

// doubt is a failure of which it isn't known yet whether it is the endpoint's.
type doubt struct {
	seen placer.Observation
	at   time.Time
}

// SetWitness sets what tells failures of endpoints from those of this VM's links; without it all are the endpoints'. It must be
// called before the first request.
func (b *Balancer) SetWitness(w Witness) { b.witness = w }

// ForgetFailures drops the failures that this VM has observed. It is called when they turn out to be those of its own links.
func (b *Balancer) ForgetFailures() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.doubts = nil
	b.placer.ForgetFailures()
	for _, g := range b.byGroup {
		g.observations = slices.DeleteFunc(g.observations, func(o placer.Observation) bool { return o.HasFailed })
		g.isDirty = true
	}
	notify(b.changed)
}

// observeFailure keeps a failure until it is known whose it is; the lock is held.
func (b *Balancer) observeFailure(now time.Time, seen placer.Observation) {
	if b.witness == nil {
		b.keep(seen)
		return
	}
	b.doubts = append(b.doubts, doubt{seen, now})
}

// settleDoubts passes on the failures that are known to be the endpoints', and drops those of a partition; the lock is held.
func (b *Balancer) settleDoubts(now time.Time) {
	b.doubts = slices.DeleteFunc(b.doubts, func(d doubt) bool {
		switch {
		case b.witness.IsPartitioned():
			return true
		case b.witness.HasHeardSince(d.at.Add(arrivalTime)) || now.Sub(d.at) >= doubtTime:
			b.keep(d.seen)
			return true
		}
		return false
	})
}

// isInDoubt reports whether what this VM saw fail may be its own links; settleDoubts comes before it. The lock is held.
func (b *Balancer) isInDoubt() bool {
	return b.witness != nil && (b.witness.IsPartitioned() || len(b.doubts) > 0)
}
