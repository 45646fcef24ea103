package placer

import "time"

const (
	// firstAside and longestAside bound how long an endpoint is avoided after a failure: a round trip between regions
	// and some, up to the time within which a crashed endpoint's registration lapses.
	firstAside   = 250 * time.Millisecond
	longestAside = 4 * time.Second
	// silenceFactor times the objective without a first byte makes an endpoint suspect.
	silenceFactor = 3
	smoothing     = 0.1
	// firstGuess and holdGuess stand in until an answer was measured.
	firstGuess = 70 * time.Millisecond
	holdGuess  = 700 * time.Millisecond
)

// condition is what requests of this VM learned of an endpoint.
type condition struct {
	failures   int
	asideUntil time.Time
	// oldestSilent is the send time of the oldest request without a first byte; zero when there is none.
	silent map[uint64]time.Time
	first  time.Duration
	hold   time.Duration
}

func newCondition() *condition {
	return &condition{silent: map[uint64]time.Time{}, first: firstGuess, hold: holdGuess}
}

func (c *condition) fail(now time.Time) {
	c.failures++
	aside := min(firstAside<<min(c.failures-1, 8), longestAside)
	c.asideUntil = now.Add(aside)
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
