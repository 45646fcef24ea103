package authenticator

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const (
	// maxDrift is the most by which the rates of two adjusted clocks differ: the kernel's bound for adjustments, 500 ppm.
	maxDrift = 500e-6
	// clockResolution is that of the store's clock, which tells whole milliseconds. A time that is rounded down makes the clock's
	// zero seem later than it was.
	clockResolution = time.Millisecond
	// marginShare is the part of Policy.RevokeAfter that is left for a round trip to an endpoint and for late timers: 250 ms of
	// 5 s, where a round trip between regions takes 40 ms.
	marginShare = 0.05
	// watchShare is the part of Policy.RevokeAfter that a watch of the configuration may take. A VM that loses the store then goes
	// on serving for 0.6 of it.
	watchShare = 0.3
	// probeInterval is the time after which a watch that does not wait is due. A long one without changes says little about when
	// the store answered.
	probeInterval = 30 * time.Second
)

// Policy says how fast a revoked key must be refused.
type Policy struct {
	// IsStrict says that a VM which can't know in time that a key was revoked refuses all keys.
	IsStrict bool
	// RevokeAfter is the time from the acknowledgement of a revocation until no further request with the key may run.
	RevokeAfter time.Duration
}

// MaxAge returns the age of the VM's knowledge of the configuration from which on it refuses all keys.
func (p Policy) MaxAge() time.Duration {
	return p.RevokeAfter - time.Duration(marginShare*float64(p.RevokeAfter))
}

// MaxWatch returns the longest wait of a watch of the configuration.
func (p Policy) MaxWatch() time.Duration { return time.Duration(watchShare * float64(p.RevokeAfter)) }

// Freshness is the time as of which a VM knows the configuration. All times are of the VM's clock since boot, but the store's.
type Freshness struct {
	isKnown bool
	asOf    time.Duration

	// offset is a lower bound of the local time at which the store's clock was 0, as of offsetAt; lastStore is the last time read
	// from the store's clock.
	hasOffset        bool
	offset, offsetAt time.Duration
	lastStore        time.Duration
	hasProbed        bool
	probedAt         time.Duration
}

// Observe records a call that brought all changes of the configuration up to the store's answer. storeClock is the time of the
// store's clock in that answer, if it gave one; without it, the answer counts as of the call's send time.
func (f *Freshness) Observe(sentAt, receivedAt time.Duration, storeClock option.Option[time.Duration]) {
	bound := sentAt
	if store, ok := storeClock.Get(); ok {
		bound = f.boundOf(store, sentAt, receivedAt)
	}
	if !f.isKnown || bound > f.asOf {
		f.isKnown, f.asOf = true, bound
	}
}

// ObserveAge records a call to another VM, whose knowledge was of this age when the call reached it; the age is negative if it is
// newer than that.
func (f *Freshness) ObserveAge(sentAt, age time.Duration) {
	if bound := sentAt - age; !f.isKnown || bound > f.asOf {
		f.isKnown, f.asOf = true, bound
	}
}

// boundOf returns the lower bound of the local time for which the time of the store's clock stands.
func (f *Freshness) boundOf(store, sentAt, receivedAt time.Duration) time.Duration {
	sample := sentAt - store - clockResolution
	decayed := f.offset - time.Duration(maxDrift*float64(max(receivedAt-f.offsetAt, 0)))
	isStepBack := store < f.lastStore
	// A bound after the answer's arrival contradicts the clock's earlier times: it was set forward.
	isStepForward := store+decayed > receivedAt
	if !f.hasOffset || isStepBack || isStepForward || sample > decayed {
		// The sample's drift began when the store answered, which may have been long before the answer was read.
		f.offset, f.offsetAt = sample, sentAt
	} else {
		f.offset, f.offsetAt = decayed, receivedAt
	}
	f.hasOffset, f.lastStore = true, store
	return max(store+f.offset, sentAt)
}

// AsOf returns the time as of which the configuration is known; false if it never was.
func (f *Freshness) AsOf() (time.Duration, bool) { return f.asOf, f.isKnown }

// IsProbeDue reports whether the next watch should not wait, and records that it doesn't.
func (f *Freshness) IsProbeDue(now time.Duration) bool {
	if f.hasProbed && now-f.probedAt < probeInterval {
		return false
	}
	f.hasProbed, f.probedAt = true, now
	return true
}

// IsStale reports whether knowledge as of asOf is too old at the time now for keys to count; isKnown is false if there is none.
func (p Policy) IsStale(now, asOf time.Duration, isKnown bool) bool {
	return p.IsStrict && (!isKnown || now-asOf >= p.MaxAge())
}
