package batcher

import "time"

// LeaseWatch tells which rows stood unchanged for a lease's length on the observer's own monotonic clock.
//
// No clock is compared between VMs: a row whose version changes is alive, whatever the time written in it.
type LeaseWatch struct {
	length time.Duration
	seen   map[string]sighting
}

type sighting struct {
	version int64
	since   time.Time
}

// NewLeaseWatch returns a watch for leases of that length.
func NewLeaseWatch(length time.Duration) *LeaseWatch {
	return &LeaseWatch{length: length, seen: map[string]sighting{}}
}

// IsLapsed takes in the row's version and reports whether it stood unchanged for the lease's length.
func (w *LeaseWatch) IsLapsed(now time.Time, key string, version int64) bool {
	s, ok := w.seen[key]
	if !ok || s.version != version {
		w.seen[key] = sighting{version: version, since: now}
		return false
	}
	return now.Sub(s.since) >= w.length
}

// Forget drops a row that needs no watching any more.
func (w *LeaseWatch) Forget(key string) {
	delete(w.seen, key)
}
