package placer

import (
	"math"
	"time"
)

const (
	// deadlineBucket is the ratio between the bounds of a bucket of deadlines.
	deadlineBucket = 1.015
	// firstBuckets is the number of buckets below the reference in which requests still count as first attempts: they may have
	// waited for their bodies or for another endpoint.
	firstBuckets = 2
	// deadlineShare is the share of a route's callers whose deadline is the route's reference. Retries have less time left,
	// spread over a quarter of the deadline, so no two buckets hold that share of them.
	deadlineShare = 0.2
	// deadlineMemory is the number of requests over which the weight of an earlier one falls to 1/e.
	deadlineMemory = 128
)

// deadlines is the distribution of the deadlines of a route's callers, by which first attempts are told from retries.
type deadlines struct {
	weights map[int]float64
	total   float64
	// seen counts the requests since the last cleaning.
	seen int
}

// observe adds a request with the time left, with a weight of up to 1, and reports whether it is a first attempt.
func (d *deadlines) observe(left time.Duration, weight float64) bool {
	if d.weights == nil {
		d.weights = map[int]float64{}
	}
	at := int(math.Log(math.Max(float64(left), 1)) / math.Log(deadlineBucket))
	for b := range d.weights {
		d.weights[b] *= 1 - weight/deadlineMemory
	}
	d.weights[at] += weight
	d.total = d.total*(1-weight/deadlineMemory) + weight
	if d.seen++; d.seen%deadlineMemory == 0 {
		for b, w := range d.weights {
			if w < 1.0/deadlineMemory {
				delete(d.weights, b)
			}
		}
	}
	reference := at
	for b := range d.weights {
		if b > reference && d.weights[b]+d.weights[b-1] >= deadlineShare*d.total {
			reference = b
		}
	}
	return at >= reference-firstBuckets
}

// repeatedWeight is the weight of a request that has waited at its VM: most of these were counted when they came.
const repeatedWeight = 0.1

// isFirstAttempt reports whether the request is its caller's first attempt, by the deadlines of the route's callers.
func (p *Placer) isFirstAttempt(r Request) bool {
	if p.omitted.Deadlines || !r.competes() {
		return p.hasLongestDeadline(r)
	}
	d, ok := p.deadlines[r.Route.Name]
	if !ok {
		d = &deadlines{}
		p.deadlines[r.Route.Name] = d
	}
	weight := 1.0
	if r.Waited > HoldInterval/2 {
		weight = repeatedWeight
	}
	return d.observe(r.Left, weight)
}
