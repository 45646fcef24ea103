package placer

import (
	"math"
	"time"
)

const (
	// minAvoidance and maxAvoidance bound how long an endpoint is avoided after a failure: from somewhat more than a round
	// trip between regions, up to the time within which a crashed endpoint's registration expires.
	minAvoidance = 250 * time.Millisecond
	maxAvoidance = 4 * time.Second
	// trialTime is the interval between requests to an endpoint that has failed, until one succeeds: an endpoint that fails fast
	// looks empty, and without the interval it would get every request. It covers a round trip between regions and a first byte.
	trialTime = 250 * time.Millisecond
	// suspicionFactor times the objective passed to isSuspect is the wait for a first byte after which an endpoint is suspect:
	// the route's objective, but at least initialFirstByte, to place an online request; initialServiceTime to place a batch item.
	suspicionFactor = 3
	// smoothingFactor is the weight of a new measurement in a moving average.
	smoothingFactor = 0.15
	// initialFirstByte and initialServiceTime are the averages until an answer has been measured.
	initialFirstByte   = 70 * time.Millisecond
	initialServiceTime = 700 * time.Millisecond
)

const (
	// hiddenTimeout is the age at which a count of hidden requests, those at an engine that no VM has reported, is ignored:
	// somewhat more than two intervals between package prober's polls of the engine.
	hiddenTimeout = 900 * time.Millisecond
	// hiddenSlack is subtracted from the count of hidden requests, because an engine's report lags behind the VMs' counts.
	hiddenSlack = 1
	// faultHalfLife is the time in which the weight of a failure halves; a crashed endpoint's registration expires within it.
	faultHalfLife = 4 * time.Second
	// minFaultWeight is the weight below which failures are ignored.
	minFaultWeight = 0.1
)

// condition is the state of an endpoint as this VM's requests and its peers' reports have shown it.
type condition struct {
	// failures is the number of failures since the last success.
	failures   int
	avoidUntil time.Time
	// trialUntil is when the next request may be sent to an endpoint that has not succeeded since its last failure.
	trialUntil time.Time
	// unanswered holds the send times of requests that have not received a first byte.
	unanswered map[uint64]time.Time
	// firstByte is the moving average of the time to the first byte, serviceTime of the time that a request takes in all.
	firstByte   time.Duration
	serviceTime time.Duration
	// faults is the decayed number of failures as of faultsAt.
	faults   float64
	faultsAt time.Time
	// slots is the endpoint's last known number of slots; 0 if it is unknown.
	slots int
	// fullAt is the last time at which all slots were known to be taken, overfullAt the last time at which there were more
	// requests than slots.
	fullAt, overfullAt time.Time
	// hidden is the number of requests at the engine, as of hiddenAt, that no VM has reported.
	hidden   int
	hiddenAt time.Time
	// allowance is what the endpoint's rate limit allows.
	allowance allowance
}

func newCondition() *condition {
	return &condition{unanswered: map[uint64]time.Time{}, firstByte: initialFirstByte, serviceTime: initialServiceTime}
}

// recordFailure counts a failure and doubles the time for which the endpoint is avoided, up to maxAvoidance.
func (c *condition) recordFailure(now time.Time) {
	c.failures++
	avoidance := min(minAvoidance<<min(c.failures-1, 8), maxAvoidance)
	c.avoidUntil = now.Add(avoidance)
	c.faults, c.faultsAt = c.recentFaults(now)+1, now
}

// recentFaults returns the number of failures, where the weight of each halves every faultHalfLife.
func (c *condition) recentFaults(now time.Time) float64 {
	if c.faults == 0 {
		return 0
	}
	return c.faults * math.Exp2(-float64(now.Sub(c.faultsAt))/float64(faultHalfLife))
}

// recordSuccess resets the count of failures and ends the avoidance of the endpoint.
func (c *condition) recordSuccess() {
	c.failures = 0
	c.avoidUntil = time.Time{}
}

// beginTrial records that a request was assigned to the endpoint. If the endpoint has failed since its last success, it gets no
// other request for trialTime, unless this one succeeds first.
func (c *condition) beginTrial(now time.Time) {
	if c.failures > 0 {
		c.trialUntil = now.Add(trialTime)
	}
}

// isOnTrial reports whether the endpoint has failed since its last success and a recent request will show whether it has
// recovered.
func (c *condition) isOnTrial(now time.Time) bool { return c.failures > 0 && now.Before(c.trialUntil) }

// isSuspect reports whether the endpoint is avoided after a failure, or a request has waited for its first byte for longer
// than suspicionFactor times the objective.
func (c *condition) isSuspect(now time.Time, objective time.Duration) bool {
	if now.Before(c.avoidUntil) {
		return true
	}
	for _, sent := range c.unanswered {
		if now.Sub(sent) > suspicionFactor*objective {
			return true
		}
	}
	return false
}

// smooth returns the moving average after a new measurement.
func smooth(average, measured time.Duration) time.Duration {
	return average + time.Duration(smoothingFactor*float64(measured-average))
}
