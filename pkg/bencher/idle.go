package bencher

import (
	"sync"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
)

const (
	idleSeed      = 12
	idleDuration  = 5 * time.Minute
	burstInterval = 8 * time.Second
	burstDuration = 3 * time.Second
	// burstFactor is the load in a burst relative to the highest load that the endpoint can serve.
	burstFactor = 1.2
	// minShareTailFirst and minShareThroughputFirst bound batch's share of the capacity that online requests leave.
	minShareTailFirst       = 0.80
	minShareThroughputFirst = 0.95
	// maxWastedShare bounds the share of batch's engine time spent on recomputing suspended items.
	maxWastedShare = 0.02
)

// idleBench runs bursts of online requests with little traffic between them, and batch in the capacity that they leave.
func idleBench(kind policyKind, p allocator.Policy, peak float64) *bench {
	b := newBench(kind, p, idleSeed)
	times := []time.Time{}
	collectArrivals(newBench(kind, p, idleSeed), idleDuration, func(t time.Duration) float64 {
		if t%burstInterval < burstDuration {
			return peak * burstFactor
		}
		return peak / rushFactor
	}, &times)
	b.fillBatch()
	for _, at := range times {
		b.clock.at(at, func() { b.sendOnline("online") })
	}
	b.run(idleDuration)
	return b
}

// batchAloneTokens returns the endpoint's capacity: the tokens that it generates with batch only.
var batchAloneTokens = sync.OnceValue(func() int {
	b := newBench(fifoPolicy, basePolicy(), idleSeed)
	b.fillBatch()
	b.run(idleDuration)
	return b.batchTokens
})

// runIdle is scenario idle: batch uses the capacity that bursts of online requests leave.
func runIdle(r *report) {
	peak := highestAloneRate()
	minShare := map[string]float64{"tailFirst": minShareTailFirst, "throughputFirst": minShareThroughputFirst}
	for _, c := range policyCases() {
		b := idleBench(c.kind, c.policy, peak)
		name := "idle/" + c.name
		share := float64(b.batchTokens) / float64(batchAloneTokens()-b.onlineTokens)
		if c.kind != ownPolicy {
			r.info(name, "batchShareOfLeft", share)
			r.info(name, "firstTokenP95Ms", quantile(b.online.first, 95))
			continue
		}
		r.atLeast(name, "batchShareOfLeft", share, minShare[c.name])
		r.atMost(name, "firstTokenP95Ms", quantile(b.online.first, 95), milliseconds(firstTokenTarget))
		r.atMost(name, "tokenGapP95Ms", quantile(b.online.gap, 95), milliseconds(tokenGapTarget))
		r.atMost(name, "thrownAway", b.wastedShare(), maxWastedShare)
		r.info(name, "parked", float64(b.own.suspended))
		r.info(name, "refused", float64(b.refusedOnline))
	}
}

// wastedShare returns the share of batch's engine time that was spent on recomputing tokens of suspended items.
func (b *bench) wastedShare() float64 {
	t := engineTiming()
	again := time.Duration(b.own.wastedTokens) * t.PrefillPerToken
	perToken := t.StepPerSequence + t.StepBase/engineSlots
	return again.Seconds() / (again + time.Duration(b.batchTokens)*perToken).Seconds()
}
