package bencher

import (
	"sync"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
)

const (
	rushSeed     = 11
	rushAt       = 30 * time.Second
	rushUntil    = 60 * time.Second
	rushDuration = 80 * time.Second
	rushFactor   = 10
	// highestAloneRate tries the peaks from lowestRate to highestRate in steps of rateStep, in requests a second. rateStep is
	// also the lowest rate of collectArrivals.
	rateStep    = 0.25
	lowestRate  = 4.0
	highestRate = 30.0
	// maxTailOverAlone bounds the 99th percentile with batch over that without batch.
	maxTailOverAlone = 1.05
	rushRampUp       = time.Second
)

// highestAloneRate returns the highest peak of the traffic spike, in requests a second, that the endpoint serves within the
// targets without batch.
var highestAloneRate = sync.OnceValue(func() float64 {
	best := rateStep
	for rate := lowestRate; rate <= highestRate; rate += rateStep {
		b := rushBench(ownPolicy, tailFirst(), rate, false)
		isServed := b.refusedOnline == 0 && quantile(b.online.first, 95) <= milliseconds(firstTokenTarget) &&
			quantile(b.online.gap, 95) <= milliseconds(tokenGapTarget)
		if !isServed {
			break
		}
		best = rate
	}
	return best
})

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// rushRate returns a rate that rises rushFactor-fold to peak within rushRampUp, and falls back at rushUntil.
func rushRate(peak float64) func(time.Duration) float64 {
	low := peak / rushFactor
	return func(t time.Duration) float64 {
		switch {
		case t < rushAt || t >= rushUntil:
			return low
		case t < rushAt+rushRampUp:
			return low + (peak-low)*float64(t-rushAt)/float64(rushRampUp)
		default:
			return peak
		}
	}
}

// rushBench runs the traffic spike of scenario rush, with or without batch in the free slots.
func rushBench(kind policyKind, p allocator.Policy, peak float64, hasBatch bool) *bench {
	b := newBench(kind, p, rushSeed)
	// Batch items draw from the random source of b; arrivals need a separate one, to be the same with and without batch.
	arrivals := newBench(kind, p, rushSeed)
	times := []time.Time{}
	arrivals.engine.onEnd = func(*request) {}
	collectArrivals(arrivals, rushDuration, rushRate(peak), &times)
	if hasBatch {
		b.fillBatch()
	}
	for _, at := range times {
		b.clock.at(at, func() { b.sendOnline("online") })
	}
	b.run(rushDuration + 20*time.Second)
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

// runRush is scenario rush: online traffic grows tenfold within a second at an endpoint whose slots all run batch.
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
			r.atMost(name, "firstTokenP99OfAlone", firstRatio, maxTailOverAlone)
			r.atMost(name, "tokenGapP99OfAlone", gapRatio, maxTailOverAlone)
		} else {
			r.info(name, "firstTokenP99OfAlone", firstRatio)
			r.info(name, "tokenGapP99OfAlone", gapRatio)
		}
		r.info(name, "refused", float64(b.refusedOnline))
	}
}
