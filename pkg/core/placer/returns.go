package placer

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// Bounds of the retry-after time as shares of the time until the deadline; callers retry within a third of that time.
const (
	minRetryShare = 0.06
	maxRetryShare = 0.3
)

// returnShare is the share of the rate at which slots become free that is promised to refused callers; the rest is for first
// attempts.
const returnShare = 0.3

// retryAfter returns the time after which a refused caller is to retry: when there will be room for it, behind the callers who
// were refused before.
//
// Times beyond the longest one are drawn from its upper half, so that these callers do not return at once.
func (p *Placer) retryAfter(now time.Time, r Request, excess time.Duration) time.Duration {
	longest := time.Duration(maxRetryShare * float64(r.Left))
	if p.omitted.Returns || !r.competes() {
		share := minRetryShare + p.random.Float64()*(maxRetryShare-minRetryShare)
		return time.Duration(share * float64(r.Left))
	}
	at := now.Add(max(excess, 0))
	if next := p.promisedUntil.Add(p.returnGap(now, r.Candidates)); next.After(at) {
		at = next
	}
	if after := at.Sub(now); after <= longest {
		p.promisedUntil = at
		return after
	}
	return longest/2 + time.Duration(p.random.Float64()*float64(longest/2))
}

// returnGap returns the time between two returns of refused callers.
func (p *Placer) returnGap(now time.Time, endpoints []registrar.Endpoint) time.Duration {
	perSecond := 0.0
	for _, e := range endpoints {
		c := p.conditionOf(KeyOf(e.ID))
		if e.IsDraining || c.isSuspect(now, initialServiceTime) {
			continue
		}
		perSecond += float64(e.Slots) / max(c.serviceTime, minServiceTime).Seconds()
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / (returnShare * perSecond))
}

// minServiceTime keeps rates finite.
const minServiceTime = time.Millisecond
