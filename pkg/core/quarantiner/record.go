package quarantiner

import (
	"maps"
	"math"
	"slices"
	"time"
)

// unknownEvents is more than any number of events.
const unknownEvents = math.MaxInt

// point is how many events of their answers requests had at a time.
type point struct {
	at     time.Time
	events int
}

// with returns the later time and the larger number of events.
func (p point) with(other point) point {
	if other.at.After(p.at) {
		p.at = other.at
	}
	p.events = max(p.events, other.events)
	return p
}

// front holds the points that no other one is both later and further than: these are refuted first.
type front []point

// with returns the front with a further point, and whether that changes it.
func (f front) with(p point) (front, bool) {
	isCovered := func(a, b point) bool { return !a.at.After(b.at) && a.events <= b.events }
	if slices.ContainsFunc(f, func(other point) bool { return isCovered(p, other) }) {
		return f, false
	}
	f = slices.DeleteFunc(slices.Clone(f), func(other point) bool { return isCovered(other, p) })
	return append(f, p), true
}

// at returns the latest time.
func (f front) at() time.Time {
	return slices.MaxFunc(f, func(a, b point) int { return a.at.Compare(b.at) }).at
}

// seen is the strike against one part at one endpoint. VMs see the end of an endpoint each at a time of its own; what no
// refutation drops before the others is kept, so that strikes and refutations have one result in any order.
type seen struct {
	// unanswered holds where requests broke off whose answer had not begun, answered those whose answer had.
	unanswered, answered front
	// delaysNext and delaysLater are when the last requests with these delays broke off; zero if none.
	delaysNext, delaysLater time.Time
}

func (s seen) weight() int {
	switch {
	case len(s.unanswered) > 0:
		return fullWeight
	case len(s.answered) > 0:
		return answerWeight
	default:
		return 0
	}
}

func (s seen) at() time.Time {
	if s.weight() == fullWeight {
		return s.unanswered.at()
	}
	return s.answered.at()
}

// with returns the strike with a further report of it, and whether that changes it.
func (s seen) with(report Strike) (seen, bool) {
	hasChanged, isLater := false, false
	if report.HadAnswer {
		s.answered, hasChanged = s.answered.with(report.point())
	} else {
		s.unanswered, hasChanged = s.unanswered.with(report.point())
	}
	switch {
	case report.Delay == DelaysNext && report.At.After(s.delaysNext):
		s.delaysNext, isLater = report.At, true
	case report.Delay == DelaysLater && report.At.After(s.delaysLater):
		s.delaysLater, isLater = report.At, true
	}
	return s, hasChanged || isLater
}

// point returns when and where the request broke off.
func (s Strike) point() point {
	if s.HadAnswer && s.Events == 0 {
		return point{at: s.At, events: unknownEvents}
	}
	return point{at: s.At, events: s.Events}
}

// record holds the strikes against one part, by endpoint.
type record struct {
	part     string
	strikes  map[string]seen
	position int
	// lastAt is when this VM learned of the last strike.
	lastAt time.Time
	// refutedAt is when a request with the part was last known to be completed.
	refutedAt time.Time
	// outlived is the last time and the furthest point from which a request with the part is known to have made progress.
	outlived point
	// probedAt is when this VM began the last probe or learned of it, probeAt when it began by the clock of its VM.
	probedAt, probeAt time.Time
	// formerAt is what probedAt was before the last trial of this VM.
	formerAt time.Time
	// total is the weight of all strikes as of the last decision, and furtherEnds the number of ends that count after those that
	// had sufficed.
	total, furtherEnds int
	// laterEnds is the number of ends that delay later probes.
	laterEnds int
	// abortedAt is when the last trial of this VM that said nothing began, and retryAt when an item may be sent again after it;
	// aborted is the number of these trials in a row.
	abortedAt, retryAt time.Time
	aborted            int
	// failedTrials is the number of rounds of trials or probes under which endpoints ended.
	failedTrials int
	// isRequest says that the part stands for a whole request.
	isRequest                     bool
	isQuarantined, wasQuarantined bool
}

// lastStrike returns the time of the last strike, or now if that is later.
func (r *record) lastStrike(now time.Time) time.Time {
	last := now
	for _, s := range r.strikes {
		for _, p := range append(slices.Clone(s.unanswered), s.answered...) {
			if p.at.After(last) {
				last = p.at
			}
		}
	}
	return last
}

// hasStrikeUpTo reports whether there is a strike of a request that had no more events.
func (r *record) hasStrikeUpTo(events int) bool {
	for _, s := range r.strikes {
		for _, p := range append(slices.Clone(s.unanswered), s.answered...) {
			if p.events <= events {
				return true
			}
		}
	}
	return false
}

// isRefuted reports whether a request was completed, or went on past the point, after one broke off there.
func (r *record) isRefuted(p point) bool {
	return !p.at.After(r.refutedAt) || (!p.at.After(r.outlived.at) && p.events <= r.outlived.events)
}

// drop drops what is refuted of the strikes.
func (r *record) drop() {
	for e, s := range r.strikes {
		s.unanswered = slices.DeleteFunc(slices.Clone(s.unanswered), r.isRefuted)
		s.answered = slices.DeleteFunc(slices.Clone(s.answered), r.isRefuted)
		if !s.delaysNext.After(r.refutedAt) {
			s.delaysNext = time.Time{}
		}
		if !s.delaysLater.After(r.refutedAt) {
			s.delaysLater = time.Time{}
		}
		if s.weight() == 0 {
			delete(r.strikes, e)
		} else {
			r.strikes[e] = s
		}
	}
}

// add records a strike and reports whether it changes anything.
func (r *record) add(now time.Time, s Strike) bool {
	r.position = max(r.position, s.Position)
	if r.isRefuted(s.point()) {
		return false
	}
	old := r.strikes[s.Endpoint]
	merged, hasChanged := old.with(s)
	r.strikes[s.Endpoint] = merged
	if merged.weight() > old.weight() {
		r.lastAt, r.aborted = now, 0
	}
	return hasChanged
}

// weight returns the weight of the strikes that no other part explains; explained holds the heaviest strike of those by endpoint.
func (r *record) weight(explained map[string]int) int {
	var list []seen
	for e, s := range r.strikes {
		if s.weight() > explained[e] {
			list = append(list, s)
		}
	}
	return weightOf(list)
}

// weightOf returns the weight of strikes.
func weightOf(list []seen) int {
	total := 0
	for _, m := range momentsOf(list) {
		total += m.weight()
	}
	return total
}

// moment holds the ends of endpoints within momentTime.
type moment struct {
	begin time.Time
	ends  int
	// unanswered is the number of ends under requests without an answer, next and later of those with a request that delays the next
	// probe, and later ones only.
	unanswered, next, later int
}

// weight returns the weight of the ends. Those under answers that had begun count as one strike without an answer at most, and
// not beside strikes without an answer.
func (m moment) weight() int {
	return max(min((m.ends-m.unanswered)*answerWeight, fullWeight), m.unanswered*fullWeight)
}

// momentsOf returns the moments of strikes, the first one first.
func momentsOf(list []seen) []moment {
	list = slices.SortedFunc(slices.Values(list), func(a, b seen) int { return a.at().Compare(b.at()) })
	var moments []moment
	for _, s := range list {
		if n := len(moments); n == 0 || s.at().Sub(moments[n-1].begin) > momentTime {
			moments = append(moments, moment{begin: s.at()})
		}
		m := &moments[len(moments)-1]
		m.ends++
		if s.weight() == fullWeight {
			m.unanswered++
		}
		if !s.delaysNext.IsZero() {
			m.next++
		} else if !s.delaysLater.IsZero() {
			m.later++
		}
	}
	return moments
}

// covers reports whether there is a strike as heavy at each endpoint where the other part has one.
func (r *record) covers(other *record) bool {
	for e, s := range other.strikes {
		if r.strikes[e].weight() < s.weight() {
			return false
		}
	}
	return true
}

// explain adds the weights of the strikes.
func (r *record) explain(explained map[string]int) {
	for e, s := range r.strikes {
		explained[e] = max(explained[e], s.weight())
	}
}

// nextProbe returns when the next probe is due.
func (r *record) nextProbe() time.Time {
	at := r.lastAt
	if r.probedAt.After(at) {
		at = r.probedAt
	}
	return at.Add(r.probeWait())
}

// probeWait returns how long after the last strike or probe the next probe is due.
func (r *record) probeWait() time.Duration {
	if r.isRequest && r.furtherEnds >= maxProbeEnds {
		return maxProbe
	}
	wait := firstProbe
	for n := r.furtherEnds; n > 0 && wait < maxProbe; n-- {
		wait *= probeFactor
	}
	return min(wait, maxProbe)
}

// countFurtherEnds counts the ends of endpoints that delay probes after the moment with which the strikes had sufficed, at most
// maxEndsPerMoment of each moment; of that moment itself only those that delay later ones. Of a whole request it counts those
// that probes may have caused: the others were sent before the VMs knew.
func (r *record) countFurtherEnds() int {
	total, next, later := 0, 0, 0
	sufficedAt := time.Time{}
	for _, m := range momentsOf(slices.Collect(maps.Values(r.strikes))) {
		if total >= threshold && (!r.isRequest || m.begin.Sub(sufficedAt) >= firstProbe) {
			next += min(m.next, maxEndsPerMoment)
		}
		if total += m.weight(); total >= threshold && sufficedAt.IsZero() {
			sufficedAt = m.begin
		}
		if total >= threshold {
			later += min(m.later, maxEndsPerMoment)
		}
	}
	r.laterEnds = later
	if next >= endsBeforeLater {
		return next + later
	}
	return next
}
