package bencher

import (
	"sync"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
)

const (
	idleSeed       = 12
	idleLength     = 5 * time.Minute
	burstEvery     = 8 * time.Second
	burstLength    = 3 * time.Second
	burstShare     = 1.2
	leastTail      = 0.80
	leastThrough   = 0.95
	mostThrownAway = 0.02
)

// idleBench has bursts of online requests with idle seconds between them, and batch in what they leave.
func idleBench(kind policyKind, p keeper.Policy, peak float64) *bench {
	b := newBench(kind, p, idleSeed)
	times := []time.Time{}
	collectArrivals(newBench(kind, p, idleSeed), idleLength, func(t time.Duration) float64 {
		if t%burstEvery < burstLength {
			return peak * burstShare
		}
		return peak / rushTenfold
	}, &times)
	b.fillBatch()
	for _, at := range times {
		b.clock.at(at, func() { b.sendOnline("counter") })
	}
	b.run(idleLength)
	return b
}

// batchAloneTokens is the endpoint's capacity: the tokens that it yields when it is full of batch all the time.
var batchAloneTokens = sync.OnceValue(func() int {
	b := newBench(fifoPolicy, basePolicy(), idleSeed)
	b.fillBatch()
	b.run(idleLength)
	return b.batchTokens
})

// runIdle is scenario 2: batch fills the idle seconds between bursts.
func runIdle(r *report) {
	peak := highestAloneRate()
	least := map[string]float64{"tailFirst": leastTail, "throughputFirst": leastThrough}
	for _, c := range policyCases() {
		b := idleBench(c.kind, c.policy, peak)
		name := "idle/" + c.name
		share := float64(b.batchTokens) / float64(batchAloneTokens()-b.onlineTokens)
		if c.kind != ownPolicy {
			r.info(name, "batchShareOfLeft", share)
			r.info(name, "firstTokenP95Ms", quantile(b.online.first, 95))
			continue
		}
		r.atLeast(name, "batchShareOfLeft", share, least[c.name])
		r.atMost(name, "firstTokenP95Ms", quantile(b.online.first, 95), milliseconds(firstTokenTarget))
		r.atMost(name, "tokenGapP95Ms", quantile(b.online.gap, 95), milliseconds(tokenGapTarget))
		r.atMost(name, "thrownAway", b.thrownAway(), mostThrownAway)
		r.info(name, "parked", float64(b.own.parked))
		r.info(name, "refused", float64(b.lostOnline))
	}
}

// thrownAway is the part of batch's engine time that went into doing tokens again after a park.
func (b *bench) thrownAway() float64 {
	t := engineTiming()
	again := time.Duration(b.own.wastedTokens) * t.PrefillPerToken
	perToken := t.StepPerSequence + t.StepBase/engineSlots
	return again.Seconds() / (again + time.Duration(b.batchTokens)*perToken).Seconds()
}
