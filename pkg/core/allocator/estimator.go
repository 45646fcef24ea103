package allocator

import "time"

const (
	// smoothingFactor is the weight of a new measurement in the moving average of service times.
	smoothingFactor = 0.2
	// limitDecrease is a factor, limitIncrease a number of slots that is added.
	limitDecrease = 0.9
	limitIncrease = 0.5
	// windowDecrease is a factor, windowIncrease a number of slots that is added.
	windowDecrease = 0.5
	windowIncrease = 1.0
	// minAdjustInterval is the minimum time between two adjustments of the limit, or of the window, in the same direction.
	minAdjustInterval  = 250 * time.Millisecond
	initialServiceTime = time.Second
)

// estimator learns how long requests take, and how many of them the endpoint can run within the latency targets.
type estimator struct {
	// serviceTime is the moving average of the time that a request takes.
	serviceTime time.Duration
	// limit is the learned number of usable slots, window the learned number of slots that batch items may use.
	limit           float64
	window          float64
	limitLoweredAt  time.Time
	limitRaisedAt   time.Time
	windowLoweredAt time.Time
	windowRaisedAt  time.Time
}

func newEstimator(slots int) estimator {
	return estimator{serviceTime: initialServiceTime, limit: float64(slots), window: float64(slots)}
}

// observeOnline processes the report of an online request: a token gap above its target lowers the limit; otherwise the
// limit recovers while requests wait.
func (e *estimator) observeOnline(now time.Time, p Policy, r Report, isQueueing bool) {
	if r.Took > 0 && !r.IsFailed {
		e.serviceTime += time.Duration(smoothingFactor * float64(r.Took-e.serviceTime))
	}
	if r.TokenGap == 0 {
		return
	}
	e.adjustWindow(now, p, r)
	if r.TokenGap > p.TokenGapTarget {
		if now.Sub(e.limitLoweredAt) >= minAdjustInterval {
			e.limitLoweredAt = now
			e.limit = max(1, e.limit*limitDecrease)
		}
		return
	}
	if isQueueing && now.Sub(e.limitRaisedAt) >= minAdjustInterval {
		e.limitRaisedAt = now
		e.limit += limitIncrease
	}
}

// adjustWindow halves the batch window when the latency of an online request exceeds LatencyHeadroom times its target.
func (e *estimator) adjustWindow(now time.Time, p Policy, r Report) {
	isNear := float64(r.TokenGap) > p.LatencyHeadroom*float64(p.TokenGapTarget) ||
		float64(r.FirstToken) > p.LatencyHeadroom*float64(p.FirstTokenTarget)
	if isNear {
		e.shrinkWindow(now)
	}
}

// shrinkWindow halves the batch window, at most once in minAdjustInterval.
func (e *estimator) shrinkWindow(now time.Time) {
	if now.Sub(e.windowLoweredAt) >= minAdjustInterval {
		e.windowLoweredAt = now
		e.window = max(1, e.window*windowDecrease)
	}
}

// growWindow raises the batch window by one slot if it was neither halved nor raised within minAdjustInterval.
func (e *estimator) growWindow(now time.Time, p Policy) {
	if now.Sub(e.windowLoweredAt) < minAdjustInterval || now.Sub(e.windowRaisedAt) < minAdjustInterval {
		return
	}
	e.windowRaisedAt = now
	e.window = min(float64(p.Slots), e.window+windowIncrease)
}

// observeLoad lowers the limit to the number of running requests when the engine reports that granted requests wait.
func (e *estimator) observeLoad(now time.Time, l LoadReported) {
	if l.Waiting > 0 && now.Sub(e.limitLoweredAt) >= minAdjustInterval {
		e.limitLoweredAt = now
		e.limit = max(1, min(e.limit, float64(l.Running)))
	}
}

// slots returns the number of usable slots, at most the policy's.
func (e *estimator) slots(p Policy) int {
	e.limit = min(e.limit, float64(p.Slots))
	return int(e.limit)
}
