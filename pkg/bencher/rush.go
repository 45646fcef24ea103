package bencher

import (
	"sync"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
)

const (
	rushSeed    = 11
	rushAt      = 30 * time.Second
	rushUntil   = 60 * time.Second
	rushLength  = 80 * time.Second
	rushTenfold = 10
	rateStep    = 0.25
	lowestRate  = 4.0
	highestRate = 30.0
	tailOfAlone = 1.05
	rushBegin   = time.Second
)

// highestAloneRate is the load that the endpoint can just serve alone within the targets, as the rush's peak.
var highestAloneRate = sync.OnceValue(func() float64 {
	best := rateStep
	for rate := lowestRate; rate <= highestRate; rate += rateStep {
		b := rushBench(ownPolicy, tailFirst(), rate, false)
		isServed := b.lostOnline == 0 && quantile(b.online.first, 95) <= milliseconds(firstTokenTarget) &&
			quantile(b.online.gap, 95) <= milliseconds(tokenGapTarget)
		if !isServed {
			break
		}
		best = rate
	}
	return best
})

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// rushRate rises tenfold within a second to peak and falls back at the end.
func rushRate(peak float64) func(time.Duration) float64 {
	low := peak / rushTenfold
	return func(t time.Duration) float64 {
		switch {
		case t < rushAt || t >= rushUntil:
			return low
		case t < rushAt+rushBegin:
			return low + (peak-low)*float64(t-rushAt)/float64(rushBegin)
		default:
			return peak
		}
	}
}

func rushBench(kind policyKind, p keeper.Policy, peak float64, hasBatch bool) *bench {
	b := newBench(kind, p, rushSeed)
	// The batch draws from the same source, so the arrivals have one of their own.
	arrivals := newBench(kind, p, rushSeed)
	times := []time.Time{}
	arrivals.engine.onEnd = func(*request) {}
	collectArrivals(arrivals, rushLength, rushRate(peak), &times)
	if hasBatch {
		b.fillBatch()
	}
	for _, at := range times {
		b.clock.at(at, func() { b.sendOnline("counter") })
	}
	b.run(rushLength + 20*time.Second)
	return b
}

// collectArrivals draws the times at which online requests arrive, without serving them.
func collectArrivals(b *bench, end time.Duration, rate func(time.Duration) float64, into *[]time.Time) {
	for t := time.Duration(0); t < end; {
		perSecond := rate(t)
		t += time.Duration(b.random.ExpFloat64() / max(perSecond, rateStep) * float64(time.Second))
		if t < end {
			*into = append(*into, epoch.Add(t))
		}
	}
}

// runRush is scenario 1: a tenfold rush within a second upon an endpoint that is full of batch.
func runRush(r *report) {
	peak := highestAloneRate()
	r.info("rush", "peakRequestsPerSecond", peak)
	alone := rushBench(ownPolicy, tailFirst(), peak, false)
	for _, c := range policyCases() {
		b := rushBench(c.kind, c.policy, peak, true)
		name := "rush/" + c.name
		if c.kind != ownPolicy {
			r.info(name, "firstTokenP95Ms", quantile(b.online.first, 95))
			r.info(name, "tokenGapP95Ms", quantile(b.online.gap, 95))
			continue
		}
		r.atMost(name, "firstTokenP95Ms", quantile(b.online.first, 95), milliseconds(firstTokenTarget))
		r.atMost(name, "tokenGapP95Ms", quantile(b.online.gap, 95), milliseconds(tokenGapTarget))
		firstRatio := quantile(b.online.first, 99) / quantile(alone.online.first, 99)
		gapRatio := quantile(b.online.gap, 99) / quantile(alone.online.gap, 99)
		if c.name == "tailFirst" {
			r.atMost(name, "firstTokenP99OfAlone", firstRatio, tailOfAlone)
			r.atMost(name, "tokenGapP99OfAlone", gapRatio, tailOfAlone)
		} else {
			r.info(name, "firstTokenP99OfAlone", firstRatio)
			r.info(name, "tokenGapP99OfAlone", gapRatio)
		}
		r.info(name, "refused", float64(b.lostOnline))
	}
}
