package limiter

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits are an account's limits per second for the whole fleet.
type Limits struct {
	Requests float64
	Tokens   float64
}

// Limiter holds the token buckets of every account that has sent a request. It is not safe for concurrent use.
type Limiter struct {
	vms     int
	scale   float64
	buckets map[string]*bucket
}

// bucket holds an account's limits and this VM's token buckets for requests and for tokens.
type bucket struct {
	limits   Limits
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// New returns a limiter for a fleet of one VM.
func New() *Limiter {
	return &Limiter{vms: 1, scale: 1, buckets: map[string]*bucket{}}
}

// SetFleet sets the number of live VMs and the factor by which the preset scales every limit.
func (l *Limiter) SetFleet(now time.Time, vms int, scale float64) {
	vms = max(1, vms)
	if scale <= 0 {
		scale = 1
	}
	if vms == l.vms && scale == l.scale {
		return
	}
	l.vms, l.scale = vms, scale
	for _, b := range l.buckets {
		l.adjust(now, b)
	}
}

// Allow reports whether a request of so many tokens is within this VM's share of the account's limits, and counts it if so.
// If not, it returns the time after which the request would be allowed.
func (l *Limiter) Allow(now time.Time, account string, limits Limits, tokens int) (time.Duration, bool) {
	b := l.bucket(now, account, limits)
	first := b.requests.ReserveN(now, 1)
	if wait := first.DelayFrom(now); wait > 0 {
		first.CancelAt(now)
		return wait, false
	}
	// A request larger than the burst is charged the burst; otherwise it could never be allowed.
	second := b.tokens.ReserveN(now, min(tokens, b.tokens.Burst()))
	if wait := second.DelayFrom(now); wait > 0 {
		second.CancelAt(now)
		first.CancelAt(now)
		return wait, false
	}
	return 0, true
}

func (l *Limiter) bucket(now time.Time, account string, limits Limits) *bucket {
	b, ok := l.buckets[account]
	if !ok {
		share := l.scale / float64(l.vms)
		b = &bucket{limits: limits, requests: newRate(limits.Requests * share), tokens: newRate(limits.Tokens * share)}
		l.buckets[account] = b
	}
	if b.limits != limits {
		b.limits = limits
		l.adjust(now, b)
	}
	return b
}

func (l *Limiter) adjust(now time.Time, b *bucket) {
	share := l.scale / float64(l.vms)
	setRate(now, b.requests, b.limits.Requests*share)
	setRate(now, b.tokens, b.limits.Tokens*share)
}

// newRate returns a full bucket that holds one second's worth, but at least one.
func newRate(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))
}

// setRate sets the bucket's rate, and its burst to match.
func setRate(now time.Time, r *rate.Limiter, perSecond float64) {
	r.SetLimitAt(now, rate.Limit(perSecond))
	r.SetBurstAt(now, burstOf(perSecond))
}

// burstOf returns one second's worth, rounded, but at least one.
func burstOf(perSecond float64) int {
	return max(1, int(perSecond+0.5))
}
