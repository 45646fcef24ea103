package batcher

import "time"

// LeaseWatch detects expired leases: rows whose version has not changed for the length of a lease.
//
// It measures time on the observer's own monotonic clock only. Clocks of different VMs are never compared, and a time
// that is written in a row is ignored: a new version renews the lease.
type LeaseWatch struct {
	length   time.Duration
	observed map[string]observation
}

// observation is a row's version and when it was first observed.
type observation struct {
	version int64
	since   time.Time
}

// NewLeaseWatch returns a watch for leases of the given length.
func NewLeaseWatch(length time.Duration) *LeaseWatch {
	return &LeaseWatch{length: length, observed: map[string]observation{}}
}

// IsExpired records the row's version and reports whether its lease has expired: the version has been the same for the
// length of a lease or longer.
func (w *LeaseWatch) IsExpired(now time.Time, key string, version int64) bool {
	s, ok := w.observed[key]
	if !ok || s.version != version {
		w.observed[key] = observation{version: version, since: now}
		return false
	}
	return now.Sub(s.since) >= w.length
}

// Forget removes a row that no longer needs to be watched.
func (w *LeaseWatch) Forget(key string) {
	delete(w.observed, key)
}
