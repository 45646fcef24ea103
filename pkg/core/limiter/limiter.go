package limiter

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits are an account's limits for the whole fleet, a second.
type Limits struct {
	Requests float64
	Tokens   float64
}

// Limiter holds the buckets of every account that was seen.
type Limiter struct {
	vms     int
	scale   float64
	buckets map[string]*bucket
}

type bucket struct {
	limits   Limits
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// New returns a limiter for a fleet of one VM.
func New() *Limiter {
	return &Limiter{vms: 1, scale: 1, buckets: map[string]*bucket{}}
}

// SetFleet says how many VMs are live and by how much the preset scales every limit.
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

// Allow takes one request of tokens from the account's share, or returns how long until it would fit.
func (l *Limiter) Allow(now time.Time, account string, limits Limits, tokens int) (time.Duration, bool) {
	b := l.bucket(now, account, limits)
	first := b.requests.ReserveN(now, 1)
	if wait := first.DelayFrom(now); wait > 0 {
		first.CancelAt(now)
		return wait, false
	}
	// A request larger than the burst is charged the burst, else it could never pass.
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

// newRate returns a full bucket of one second's worth, or of one where that is less.
func newRate(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))
}

func setRate(now time.Time, r *rate.Limiter, perSecond float64) {
	r.SetLimitAt(now, rate.Limit(perSecond))
	r.SetBurstAt(now, burstOf(perSecond))
}

func burstOf(perSecond float64) int {
	return max(1, int(perSecond+0.5))
}
