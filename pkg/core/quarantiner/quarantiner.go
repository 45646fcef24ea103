package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Duration is how long after its last strike a part is quarantined, and how long a strike counts.
	Duration = 10 * time.Minute
	// threshold is the weight of the strikes from which a part is quarantined: three endpoints that ended before they answered.
	threshold = 3 * fullWeight
	// A request whose answer had begun when its endpoint ended is more likely to be a sound one that ran beside the cause.
	fullWeight   = 2
	answerWeight = 1
	// SoundTime is how long events of an answer come until its request has made progress: one that crashes its endpoint ends it soon
	// after it begins.
	SoundTime = 500 * time.Millisecond
	// momentTime is the time within which ends of endpoints under answers that had begun count as one strike without an answer: they
	// may have a cause in common, such as a rack.
	momentTime = 200 * time.Millisecond
	// recentTime is how long after a request with a part was completed here no strike is recorded for it. Most requests that run
	// beside the cause have parts of which this VM completes several a second.
	recentTime = 2 * time.Second
	// A quarantined part is probed with one request firstProbe after its last strike; each further end of an endpoint multiplies
	// that time by probeFactor, up to maxProbe. Of the endpoints that end at one moment maxEndsPerMoment count: they may have
	// another cause in common.
	firstProbe       = 3 * time.Second
	probeFactor      = 4
	maxProbe         = Duration
	maxEndsPerMoment = 2
	// endsBeforeLater is the number of these ends from which on those under requests that were sent before the quarantine count too.
	endsBeforeLater = 2
	// maxParts bounds the parts with strikes, and those of recently completed requests. Whole requests get at most maxRequests of
	// them: they are new each time, and would leave no room for the parts that many share.
	maxParts    = 4096
	maxRequests = maxParts / 2
)

// Strike says that an endpoint ended while a request with the part was in flight there.
type Strike struct {
	Part string
	// Position is the part's index in the prompt. Later parts are shared by fewer requests.
	Position int
	// Endpoint identifies one incarnation of an endpoint.
	Endpoint string
	// HadAnswer says that the request's answer had begun.
	HadAnswer bool
	// Events is the number of events of the request's answer, those of earlier runs too, which it resumed; 0 if there are none, or
	// if it is not known.
	Events int
	// Delay says how the end puts off the probes that follow.
	Delay Delay
	// At is when the request broke off, by the clock of the VM that saw it.
	At time.Time
}

// Delay says how the end of an endpoint under a request puts off the probes of the request's parts.
type Delay int

const (
	// DelaysNext is that of a probe, and of all requests of which no more is known.
	DelaysNext Delay = iota
	// DelaysLater is that of a request that was no probe and had made no progress: it puts off probes once two have ended endpoints.
	DelaysLater
	// DelaysNone is that of a request that had made progress.
	DelaysNone
)

// Verdict is what Check says of a request; Part is empty if the request may be sent.
type Verdict struct {
	// Part is a quarantined part, and Left how long it stays so.
	Part string
	Left time.Duration
	// IsProbeDue says that the request may be sent as the next probe of the part, by a VM that has its turn; Turn is the
	// number of turns that are over, see HasTurn.
	IsProbeDue bool
	Turn       int
}

// Quarantiner holds the strikes that this VM knows of. It is not safe for concurrent use.
type Quarantiner struct {
	records map[string]*record
	// completed holds when a request with the part was last completed on this VM.
	completed map[string]time.Time
}

// New returns a quarantiner without strikes.
func New() *Quarantiner {
	return &Quarantiner{records: map[string]*record{}, completed: map[string]time.Time{}}
}

// Suspects returns those of the parts of a broken request that may be the cause: no request with them was completed on this VM
// shortly before or since.
func (q *Quarantiner) Suspects(now time.Time, parts []string) []string {
	var suspects []string
	for _, p := range parts {
		if at, ok := q.completed[p]; !ok || now.Sub(at) > recentTime {
			suspects = append(suspects, p)
		}
	}
	return suspects
}

// Add records strikes that this VM learned at time now, and returns the parts that are quarantined by them. Strikes against a
// part at the same endpoint count once; those before a refutation of the part don't count.
func (q *Quarantiner) Add(now time.Time, strikes ...Strike) []string {
	hasChanged := false
	for _, s := range strikes {
		r, ok := q.recordOf(now, s.Part)
		hasChanged = (ok && r.add(now, s)) || hasChanged
	}
	if !hasChanged {
		return nil
	}
	return q.decide()
}

// recordOf returns the record of a part; false if there are too many.
func (q *Quarantiner) recordOf(now time.Time, part string) (*record, bool) {
	r, ok := q.records[part]
	if ok && now.Sub(r.lastAt) <= Duration {
		return r, true
	}
	if q.forget(now); len(q.records) >= roomFor(part) {
		return nil, false
	}
	r = &record{part: part, strikes: map[string]seen{}, lastAt: now, isRequest: IsRequest(part)}
	q.records[part] = r
	return r, true
}

// decide quarantines the parts that explain the ends of endpoints, and returns those that were not quarantined before.
//
// It takes whole requests first, see decideRequests. Then it takes the last parts in the prompt first, of those the ones with the
// heaviest strikes. The endpoints where these were are explained by them: earlier parts, which their requests share with others,
// and those of requests that ran beside them, get no blame for them, unless their strike there is heavier. Of two parts that
// nothing tells apart, both are quarantined.
func (q *Quarantiner) decide() []string {
	var candidates []*record
	for _, r := range q.records {
		r.wasQuarantined, r.isQuarantined = r.isQuarantined, false
		if r.total = r.weight(nil); r.total >= threshold {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, compareCandidates)
	parts := decideRequests(candidates)
	quarantineUnexplained(parts)
	releaseExplained(parts)
	for _, r := range candidates {
		r.furtherEnds = r.countFurtherEnds()
	}
	q.countTrials(candidates)
	var added []string
	for p, r := range q.records {
		if r.isQuarantined && !r.wasQuarantined {
			added = append(added, p)
		}
	}
	slices.Sort(added)
	return added
}

// quarantineUnexplained quarantines those of the sorted candidates whose strikes suffice without those at endpoints that the ones
// before explain.
func quarantineUnexplained(candidates []*record) {
	explained := map[string]int{}
	begin := 0
	for n, r := range candidates {
		if n > 0 && compareCandidates(candidates[n-1], r) != 0 {
			for _, other := range candidates[begin:n] {
				if other.isQuarantined {
					other.explain(explained)
				}
			}
			begin = n
		}
		r.isQuarantined = r.weight(explained) >= threshold
	}
}

// compareCandidates orders the parts that may explain the ends of endpoints; the first ones take the blame.
func compareCandidates(a, b *record) int {
	return cmp.Or(cmp.Compare(b.position, a.position), cmp.Compare(b.total, a.total))
}

// releaseExplained releases the parts all of whose endpoints another quarantined part with heavier strikes explains.
func releaseExplained(candidates []*record) {
	quarantined := slices.DeleteFunc(slices.Clone(candidates), func(r *record) bool { return !r.isQuarantined })
	for _, r := range quarantined {
		for _, other := range quarantined {
			if other.isQuarantined && other.total > r.total && other.covers(r) {
				r.isQuarantined = false
				break
			}
		}
	}
}

// Refutation says that a request with the part was completed after all strikes up to the time.
//
// If Events is not 0, it was not completed, but has made progress since it had that many events.
type Refutation struct {
	Part   string
	At     time.Time
	Events int
}

// Completed records that a request with the parts was completed. It returns the refutations of those with strikes: they are not
// the cause, and their strikes are dropped, also those of VMs whose clocks are ahead.
func (q *Quarantiner) Completed(now time.Time, parts []string) []Refutation {
	var refutations []Refutation
	for _, p := range parts {
		if r, ok := q.records[p]; ok && len(r.strikes) > 0 {
			refutation := Refutation{Part: p, At: r.lastStrike(now)}
			refutations = append(refutations, refutation)
			q.Refute(now, p, refutation.At)
		}
		if len(q.completed) >= roomFor(p) {
			q.forgetCompleted(now)
		}
		if len(q.completed) < roomFor(p) {
			q.completed[p] = now
		}
	}
	return refutations
}

// Outlived records that a request with the parts has made progress since it had that many events of its answer. It returns the
// refutations of strikes of requests that had no more events: the parts are not the cause of these ends.
func (q *Quarantiner) Outlived(now time.Time, parts []string, events int) []Refutation {
	var refutations []Refutation
	for _, p := range parts {
		if r, ok := q.records[p]; ok && r.hasStrikeUpTo(events) {
			refutation := Refutation{Part: p, At: r.lastStrike(now), Events: max(events, r.outlived.events)}
			refutations = append(refutations, refutation)
			q.RefuteUpTo(now, refutation)
		}
	}
	return refutations
}

// RefuteUpTo drops the strikes against the part up to the time, of requests that had no more events than one that went on, here
// or on another VM.
func (q *Quarantiner) RefuteUpTo(now time.Time, f Refutation) {
	r, ok := q.recordOf(now, f.Part)
	if !ok {
		return
	}
	r.outlived = r.outlived.with(point{at: f.At, events: f.Events})
	r.drop()
	q.decide()
}

// Refute drops the strikes against the part up to the time at which a request with it was completed, here or on another VM.
func (q *Quarantiner) Refute(now time.Time, part string, at time.Time) {
	r, ok := q.recordOf(now, part)
	if !ok || !at.After(r.refutedAt) {
		return
	}
	r.refutedAt = at
	r.drop()
	q.decide()
}

// Drop drops the strike against the part at the endpoint.
func (q *Quarantiner) Drop(part, endpoint string) {
	if r, ok := q.records[part]; ok {
		delete(r.strikes, endpoint)
		q.decide()
	}
}

// IsQuarantined reports whether the part is quarantined.
func (q *Quarantiner) IsQuarantined(part string) bool {
	r, ok := q.records[part]
	return ok && r.isQuarantined
}

// Check returns whether a request with the parts may be sent.
func (q *Quarantiner) Check(now time.Time, parts []string) Verdict {
	v := Verdict{}
	for _, p := range parts {
		r, ok := q.records[p]
		if !ok || !r.isQuarantined {
			continue
		}
		left := r.lastAt.Add(Duration).Sub(now)
		if left <= 0 {
			continue
		}
		isDue := !now.Before(r.nextProbe())
		if v.Part == "" || !isDue {
			v = Verdict{Part: p, Left: left, IsProbeDue: isDue, Turn: r.turn(now)}
		}
		if !isDue {
			break
		}
	}
	return v
}

// BeginProbe records that a request with the quarantined part is sent as a probe; it returns false if none is due.
func (q *Quarantiner) BeginProbe(now time.Time, part string) bool {
	r, ok := q.records[part]
	if !ok || now.Before(r.nextProbe()) {
		return false
	}
	r.probedAt, r.probeAt = now, now
	return true
}

// Probed records that another VM began a probe of the part at the time, by its clock. The next probe counts from now, at which
// this VM learned of it.
func (q *Quarantiner) Probed(now time.Time, part string, at time.Time) {
	if r, ok := q.recordOf(now, part); ok && at.After(r.probeAt) {
		r.probedAt, r.probeAt = now, at
	}
}

// HasStrikes reports whether there are strikes against any part.
func (q *Quarantiner) HasStrikes() bool {
	for _, r := range q.records {
		if len(r.strikes) > 0 {
			return true
		}
	}
	return false
}

// forget drops the parts without a recent strike.
func (q *Quarantiner) forget(now time.Time) {
	for p, r := range q.records {
		if now.Sub(r.lastAt) > Duration {
			delete(q.records, p)
		}
	}
}

func (q *Quarantiner) forgetCompleted(now time.Time) {
	for p, at := range q.completed {
		if now.Sub(at) > recentTime {
			delete(q.completed, p)
		}
	}
}
