package placer

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const (
	// minPerSecond is the rate at which requests are sent to an endpoint that names a lower limit, or zero: only their answers show
	// that the limit was lifted.
	minPerSecond = 0.25
	// maxPerSecond keeps the number of saved up requests within the range of an int.
	maxPerSecond = 1e6
	// burstTime is for how long the requests that a limit allows are saved up while fewer come.
	burstTime = time.Second
	// batchShare is the share of an endpoint's limit that batch items may use before online requests.
	batchShare = 0.2
	// limitTimeout is how long a VM that decides alone keeps away from an endpoint after the last answer that named a limit: longer
	// than the time between two requests at minPerSecond, whose answers name it again.
	limitTimeout = 5 * time.Second
)

// RateLimit is what an endpoint said in an answer about the rate of requests that it takes from all VMs together.
type RateLimit struct {
	Key Key
	// IsNamed says that the answer named a limit of PerSecond requests a second; without it, an earlier limit was lifted.
	IsNamed   bool
	PerSecond float64
	// At is when the answer arrived.
	At time.Time
}

// IsSame reports whether both say the same, at whatever times.
func (l RateLimit) IsSame(other RateLimit) bool {
	return l.Key == other.Key && l.IsNamed == other.IsNamed && l.PerSecond == other.PerSecond
}

// allowance is an endpoint's newest rate limit with token buckets of the requests that it allows; they are nil without a limit.
type allowance struct {
	limit  RateLimit
	bucket *rate.Limiter
	// batch is the bucket of the items' share.
	batch *rate.Limiter
}

// set makes the limit the active one. A new bucket is empty: its owner doesn't know what was sent before.
func (a *allowance) set(now time.Time, l RateLimit) {
	a.limit = l
	if !l.IsNamed {
		a.bucket, a.batch = nil, nil
		return
	}
	perSecond := min(max(l.PerSecond, minPerSecond), maxPerSecond)
	burst := int(math.Ceil(burstTime.Seconds() * perSecond))
	if a.bucket == nil {
		a.bucket, a.batch = newEmptyBucket(now, perSecond, burst), newEmptyBucket(now, batchShare*perSecond, 1)
		return
	}
	a.bucket.SetLimitAt(now, rate.Limit(perSecond))
	a.bucket.SetBurstAt(now, burst)
	a.batch.SetLimitAt(now, rate.Limit(batchShare*perSecond))
}

func newEmptyBucket(now time.Time, perSecond float64, burst int) *rate.Limiter {
	b := rate.NewLimiter(rate.Limit(perSecond), burst)
	b.AllowN(now, burst)
	return b
}

// allows reports whether the endpoint takes another request now.
func (a *allowance) allows(now time.Time) bool { return a.bucket == nil || a.bucket.TokensAt(now) >= 1 }

// allowsBatch reports whether the endpoint takes another batch item now. Beyond their share, items leave a request to online.
func (a *allowance) allowsBatch(now time.Time) bool {
	if a.bucket == nil {
		return true
	}
	tokens := a.bucket.TokensAt(now)
	return tokens >= 2 || (tokens >= 1 && a.batch.TokensAt(now) >= 1)
}

// slotsForBatch returns how many of the slots batch items may use.
//
// The others stay free for the online requests that the limit allows: a preempted item starts again, which uses up a request.
func (a *allowance) slotsForBatch(slots int) int {
	if a.bucket == nil {
		return slots
	}
	return slots - min(int(math.Ceil(float64(a.bucket.Limit()))), slots/2)
}

// ObserveRateLimit stores the limit and returns true, unless a newer one of the endpoint is known.
func (p *Placer) ObserveRateLimit(now time.Time, l RateLimit) bool {
	a := &p.conditionOf(l.Key).allowance
	if !l.At.After(a.limit.At) {
		return false
	}
	a.set(now, l)
	return true
}

// RateLimitAfter returns what the answer to the ticket's request says of the endpoint's limit; named is the limit in the answer.
//
// Answers overtake each other, so one without a limit lifts only a limit that was known before its request was sent.
func (p *Placer) RateLimitAfter(now time.Time, t *Ticket, named option.Option[float64]) option.Option[RateLimit] {
	if perSecond, ok := named.Get(); ok {
		return option.Some(RateLimit{Key: t.key, IsNamed: true, PerSecond: perSecond, At: now})
	}
	known := p.conditionOf(t.key).allowance.limit
	if !known.IsNamed || !t.sentAt.After(known.At) {
		return option.None[RateLimit]()
	}
	return option.Some(RateLimit{Key: t.key, At: now})
}

// RateLimitOf returns what is known of the endpoint's limit; its time is zero if the endpoint never named one.
func (p *Placer) RateLimitOf(k Key) RateLimit {
	c, ok := p.conditions[k]
	if !ok {
		return RateLimit{Key: k}
	}
	return c.allowance.limit
}

// IsLimited reports whether a recent answer of the endpoint named a rate limit.
//
// A VM that has sent no request there lately doesn't learn that the limit was lifted.
func (p *Placer) IsLimited(now time.Time, k Key) bool {
	l := p.RateLimitOf(k)
	return l.IsNamed && now.Sub(l.At) < limitTimeout
}

// CountSend counts a request that is sent to the endpoint against the endpoint's limit, if it has one.
func (p *Placer) CountSend(now time.Time, k Key, class Class) {
	a := &p.conditionOf(k).allowance
	if a.bucket == nil {
		return
	}
	a.bucket.AllowN(now, 1)
	if class == Batch {
		a.batch.AllowN(now, 1)
	}
}
