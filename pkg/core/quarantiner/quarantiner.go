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
	// Endpoint identifies one incarnation of an endpoint.
	Endpoint string
	// HadAnswer says that the request's answer had begun.
	HadAnswer bool
}

// record holds the strikes of one part, as a weight by endpoint.
type record struct {
	weights map[string]int
	lastAt  time.Time
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

// Add records a strike that this VM learned at time now, and reports whether the part is quarantined by it. Strikes at the same
// endpoint count once.
func (q *Quarantiner) Add(now time.Time, s Strike) bool {
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
	wasQuarantined := r.isQuarantined()
	r.weights[s.Endpoint] = weight
	r.lastAt = now
	return !wasQuarantined && r.isQuarantined()
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
func (q *Quarantiner) Remove(part string) { delete(q.records, part) }

// Check returns the quarantined one of the parts and how long it stays so, or an empty string.
func (q *Quarantiner) Check(now time.Time, parts []string) (string, time.Duration) {
	for _, p := range parts {
		r, ok := q.records[p]
		if !ok || !r.isQuarantined() {
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
		q.Remove(p)
	}
}

func (q *Quarantiner) forgetCompleted(now time.Time) {
	for p, at := range q.completed {
		if now.Sub(at) > recentTime {
			delete(q.completed, p)
		}
	}
}

func (r *record) isQuarantined() bool {
	n := 0
	for _, w := range r.weights {
		n += w
	}
	return n >= threshold
}
