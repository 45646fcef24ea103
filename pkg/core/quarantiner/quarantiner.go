package quarantiner

import "time"

const (
	// Time is how long after its last strike a part is quarantined, and how long a strike counts.
	Time = 10 * time.Minute
	// threshold is the weight of the strikes from which a part is quarantined: three endpoints that ended before they answered.
	threshold = 3 * fullWeight
	// A request whose answer had begun when its endpoint ended is more likely to be a sound one that ran beside the cause.
	fullWeight   = 2
	answerWeight = 1
	// recentTime is how long after a request with a part was completed here no strike is recorded for it. Most requests that run
	// beside the cause have parts of which this VM completes several a second.
	recentTime = 2 * time.Second
	// maxParts bounds the parts with strikes, and those of recently completed requests.
	maxParts = 4096
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
}

// record holds the strikes of one part, as a weight by endpoint.
type record struct {
	weights       map[string]int
	position      int
	lastAt        time.Time
	isQuarantined bool
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
// part at the same endpoint count once.
func (q *Quarantiner) Add(now time.Time, strikes ...Strike) []string {
	hasChanged := false
	for _, s := range strikes {
		hasChanged = q.addOne(now, s) || hasChanged
	}
	if !hasChanged {
		return nil
	}
	return q.decide()
}

// addOne records a strike and reports whether it changes anything.
func (q *Quarantiner) addOne(now time.Time, s Strike) bool {
	r, ok := q.records[s.Part]
	if !ok || now.Sub(r.lastAt) > Time {
		if q.forget(now); len(q.records) >= maxParts {
			return false
		}
		r = &record{weights: map[string]int{}}
		q.records[s.Part] = r
	}
	weight := fullWeight
	if s.HadAnswer {
		weight = answerWeight
	}
	if weight <= r.weights[s.Endpoint] {
		return false
	}
	r.weights[s.Endpoint] = weight
	r.position = max(r.position, s.Position)
	r.lastAt = now
	return true
}

// decide quarantines the parts that explain the ends of endpoints, and returns those that were not quarantined before.
//
// Of several parts with enough strikes it takes the last one in the prompt. The endpoints where that one was are explained by it:
// the parts that its requests share with others, and those of requests that ran beside it, get no blame for them.
func (q *Quarantiner) decide() []string {
	explained := map[string]bool{}
	left := map[string]*record{}
	for p, r := range q.records {
		left[p] = r
	}
	var added []string
	for {
		best := ""
		for p, r := range left {
			if r.weight(explained) < threshold {
				continue
			}
			if best == "" || r.position > left[best].position || (r.position == left[best].position && p < best) {
				best = p
			}
		}
		if best == "" {
			break
		}
		r := left[best]
		delete(left, best)
		for e := range r.weights {
			explained[e] = true
		}
		if !r.isQuarantined {
			added = append(added, best)
		}
		r.isQuarantined = true
	}
	for _, r := range left {
		r.isQuarantined = false
	}
	return added
}

// Completed records that a request with the parts was completed, and returns those with strikes: they are not the cause, and
// their strikes are dropped.
func (q *Quarantiner) Completed(now time.Time, parts []string) []string {
	var refuted []string
	for _, p := range parts {
		if _, ok := q.records[p]; ok {
			q.Remove(p)
			refuted = append(refuted, p)
		}
		if len(q.completed) >= maxParts {
			q.forgetCompleted(now)
		}
		if len(q.completed) < maxParts {
			q.completed[p] = now
		}
	}
	return refuted
}

// Remove drops the strikes of a part.
func (q *Quarantiner) Remove(part string) {
	if _, ok := q.records[part]; ok {
		delete(q.records, part)
		q.decide()
	}
}

// Check returns the quarantined one of the parts and how long it stays so, or an empty string.
func (q *Quarantiner) Check(now time.Time, parts []string) (string, time.Duration) {
	for _, p := range parts {
		r, ok := q.records[p]
		if !ok || !r.isQuarantined {
			continue
		}
		if left := r.lastAt.Add(Time).Sub(now); left > 0 {
			return p, left
		}
	}
	return "", 0
}

// Expired returns the parts whose strikes no longer count.
func (q *Quarantiner) Expired(now time.Time) []string {
	var parts []string
	for p, r := range q.records {
		if now.Sub(r.lastAt) > Time {
			parts = append(parts, p)
		}
	}
	return parts
}

// Parts returns the parts with strikes.
func (q *Quarantiner) Parts() []string {
	parts := make([]string, 0, len(q.records))
	for p := range q.records {
		parts = append(parts, p)
	}
	return parts
}

func (q *Quarantiner) forget(now time.Time) {
	for _, p := range q.Expired(now) {
		delete(q.records, p)
	}
}

func (q *Quarantiner) forgetCompleted(now time.Time) {
	for p, at := range q.completed {
		if now.Sub(at) > recentTime {
			delete(q.completed, p)
		}
	}
}

// weight returns the weight of the strikes at endpoints that are not explained by another part.
func (r *record) weight(explained map[string]bool) int {
	n := 0
	for e, w := range r.weights {
		if !explained[e] {
			n += w
		}
	}
	return n
}
