package placer

import (
	"math"
	"time"
)

const (
	// firstAside and longestAside bound how long an endpoint is avoided after a failure: a round trip between regions
	// and some, up to the time within which a crashed endpoint's registration lapses.
	firstAside   = 250 * time.Millisecond
	longestAside = 4 * time.Second
	// silenceFactor times the objective without a first byte makes an endpoint suspect.
	silenceFactor = 3
	smoothing     = 0.15
	// firstGuess and holdGuess stand in until an answer was measured.
	firstGuess = 70 * time.Millisecond
	holdGuess  = 700 * time.Millisecond
)

const (
	// hiddenFor is how long a count of hidden requests holds: two reports of the engine.
	hiddenFor = 900 * time.Millisecond
	// hiddenSlack is taken off it, since an engine's report lags behind the VMs' counts.
	hiddenSlack = 1
	// faultHalfLife is the time within which an endpoint that is gone loses its registration.
	faultHalfLife = 4 * time.Second
	// leastFault is the weight below which a failure is forgotten.
	leastFault = 0.1
)

// condition is what requests of this VM learned of an endpoint.
type condition struct {
	failures   int
	asideUntil time.Time
	// silent holds the send times of requests without a first byte.
	silent map[uint64]time.Time
	first  time.Duration
	hold   time.Duration
	// faults is the number of recent failures as of faultsAt.
	faults   float64
	faultsAt time.Time
	// slots is the endpoint's number of slots, as last told; 0 before.
	slots int
	// fullAt is when all slots were last seen taken, overfullAt when there were more requests than slots.
	fullAt, overfullAt time.Time
	// hidden is how many requests an engine had, as of hiddenAt, that no VM told of.
	hidden   int
	hiddenAt time.Time
	// isInspector says that this VM asked the engine.
	isInspector bool
	// starts holds the times of this VM's latest batch starts there.
	starts []time.Time
}

func newCondition() *condition {
	return &condition{silent: map[uint64]time.Time{}, first: firstGuess, hold: holdGuess}
}

func (c *condition) fail(now time.Time) {
	c.failures++
	aside := min(firstAside<<min(c.failures-1, 8), longestAside)
	c.asideUntil = now.Add(aside)
	c.faults, c.faultsAt = c.recentFaults(now)+1, now
}

// recentFaults returns the number of failures, each weighing half as much after every faultHalfLife.
func (c *condition) recentFaults(now time.Time) float64 {
	if c.faults == 0 {
		return 0
	}
	return c.faults * math.Exp2(-float64(now.Sub(c.faultsAt))/float64(faultHalfLife))
}

// recentStarts returns how many batch starts peers may not have heard of yet.
func (c *condition) recentStarts(now time.Time, settle time.Duration) int {
	for len(c.starts) > 0 && now.Sub(c.starts[0]) > settle {
		c.starts = c.starts[1:]
	}
	return len(c.starts)
}

func (c *condition) succeed() {
	c.failures = 0
	c.asideUntil = time.Time{}
}

// isSuspect says whether the endpoint failed lately or keeps a request waiting for far too long.
func (c *condition) isSuspect(now time.Time, objective time.Duration) bool {
	if now.Before(c.asideUntil) {
		return true
	}
	for _, sent := range c.silent {
		if now.Sub(sent) > silenceFactor*objective {
			return true
		}
	}
	return false
}

func smooth(old, seen time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(seen-old))
}
