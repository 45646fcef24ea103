package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// kind is a kind of request, with a route of its own.
type kind struct {
	prefix, word, service string
	isStream              bool
	// isOnce marks those of which a caller's attempt may run at most once.
	isOnce bool
	extra  map[string]any
}

const (
	routeTimeout = 3 * time.Second
	// slack is what a busy machine may add to a bound of seconds.
	slack  = 5 * time.Second
	events = 6
)

var (
	status = kind{prefix: "/status/", word: "safe", service: "app"}
	book   = kind{prefix: "/book/", word: "non_idempotent", service: "app", isOnce: true}
	draft  = kind{prefix: "/draft/", word: "stream", service: "llm", isStream: true, isOnce: true}
	note   = kind{prefix: "/note/", word: "stream", service: "llm", isStream: true, extra: map[string]any{"resumable": true}}
	lots   = kind{
		prefix: "/lot/", word: "batch_job", service: "llm",
		extra: map[string]any{"maxAttempts": 3, "dueMs": 18000, "maxWaitS": 120, "cap": 0},
	}
	kinds = []kind{status, book, draft, note, lots}
)

func (k kind) route() map[string]any {
	r := map[string]any{
		"name": "r-" + strings.Trim(k.prefix, "/"), "host": host, "pathPrefix": k.prefix, "kind": k.word, "service": k.service,
		"timeoutMs": routeTimeout.Milliseconds(), "targetLatencyMs": 500, "maxAttempts": 3, "priority": 0,
	}
	for name, value := range k.extra {
		r[name] = value
	}
	return r
}

// attempt is one request of a caller and what came of it.
type attempt struct {
	kind   kind
	id, vm string
	// status is 0 without an answer; isWhole says that the answer ended as HTTP says that it must.
	status  int
	isWhole bool
	stamp   string
	body    string
	took    time.Duration
	// isExcused says that the VM was ended or stopped meanwhile.
	isExcused bool
}

// want returns the whole answer to a request.
func (k kind) want(id string) string {
	if !k.isStream {
		return "answer to " + id
	}
	return standin.WholeStream(id, events)
}

func itemOutput(id string) string { return standin.WholeOutput(id, events) }

// isRefusal says whether a status promises that the request has not run and never will.
func isRefusal(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

// check returns what is wrong with the answer by itself.
func (a attempt) check() []string {
	var faults []string
	want := a.kind.want(a.id)
	switch {
	case a.status == http.StatusOK && a.isWhole && a.body != want:
		faults = append(faults, fmt.Sprintf("MIXED: %q ended as whole", a.body))
	case a.status == http.StatusOK && !strings.HasPrefix(want, a.body):
		faults = append(faults, fmt.Sprintf("MIXED: %q is no part of the answer", a.body))
	case a.status == http.StatusOK && !strings.HasPrefix(a.stamp, "stamp."):
		faults = append(faults, fmt.Sprintf("MIXED: signature %q", a.stamp))
	case a.status == http.StatusNotFound:
		faults = append(faults, "LOST: 404 on a route that was there all the time")
	}
	if a.took > routeTimeout+slack && !a.isExcused {
		faults = append(faults, fmt.Sprintf("LATE: no end after %s of %s", a.took.Round(time.Millisecond), routeTimeout))
	}
	for i, f := range faults {
		faults[i] = fmt.Sprintf("%s (%s%s at %s, status %d)", f, a.kind.prefix, a.id, a.vm, a.status)
	}
	return faults
}

// job is a batch job and what callers were told of it.
type job struct {
	id    string
	items []string

	mu sync.Mutex
	// acceptedAt is the time of the first 202; refusals are the answers that promise that nothing runs.
	acceptedAt time.Time
	submits    int
	refusals   int
	isEnded    bool
	// listed holds the results that were read, by position.
	listed []result
	faults []string
}

type result struct{ ID, State, Output string }

func (j *job) fault(format string, args ...any) {
	j.faults = append(j.faults, fmt.Sprintf("job %s: ", j.id)+fmt.Sprintf(format, args...))
}

// hear takes in an answer to a submission.
func (j *job) hear(status int, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.submits++
	switch {
	case status == http.StatusAccepted && j.acceptedAt.IsZero():
		j.acceptedAt = now
	case isRefusal(status):
		j.refusals++
	}
}

// settle is how long after its 202 a job may be unknown.
const settle = time.Second

// hearMissing takes in a 404 to a call that began at the time.
func (j *job) hearMissing(began time.Time, vm string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.acceptedAt.IsZero() && began.Sub(j.acceptedAt) > settle {
		j.fault("LOST: 404 from %s, accepted %s before", vm, began.Sub(j.acceptedAt).Round(time.Millisecond))
	}
}

// read takes in the results from a position on.
func (j *job) read(after, total int, results []result, vm string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if total != len(j.items) {
		j.fault("MIXED: total %d of %d from %s", total, len(j.items), vm)
	}
	for i, r := range results {
		position := after + i
		switch {
		case position < len(j.listed) && j.listed[position] != r:
			j.fault("MIXED: position %d was %+v, is %+v from %s", position, j.listed[position], r, vm)
		case position < len(j.listed):
		case position > len(j.listed):
			j.fault("MIXED: position %d before %d from %s", position, len(j.listed), vm)
			return
		case !slices.Contains(j.items, r.ID):
			j.fault("MIXED: item %q is of another job", r.ID)
		case slices.ContainsFunc(j.listed, func(l result) bool { return l.ID == r.ID }):
			j.fault("MIXED: item %s is listed twice", r.ID)
		case r.State != "succeeded" || r.Output != itemOutput(r.ID):
			j.fault("MIXED: item %s is %s with %q", r.ID, r.State, r.Output)
		}
		if position == len(j.listed) {
			j.listed = append(j.listed, r)
		}
	}
}

// isAccepted says whether the job was taken in.
func (j *job) isAccepted() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.acceptedAt.IsZero()
}

// isDone says whether nothing of the job is owed.
func (j *job) isDone() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.acceptedAt.IsZero() || j.isEnded || len(j.listed) == len(j.items)
}

// checkAll returns the rules that were broken, from all that callers and endpoints saw.
func checkAll(attempts []attempt, jobs []*job, runs []standin.Run) []string {
	var faults []string
	count := map[string]int{}
	for _, r := range runs {
		count[r.ID]++
		if r.Body != "body of "+r.ID {
			faults = append(faults, fmt.Sprintf("MIXED: %s came with body %q", r.ID, r.Body))
		}
	}
	for _, a := range attempts {
		faults = append(faults, a.check()...)
		if n := count[a.id]; a.kind.isOnce && n > 1 {
			faults = append(faults, fmt.Sprintf("TWICE: %s%s ran %d times, status %d", a.kind.prefix, a.id, n, a.status))
		}
		if n := count[a.id]; a.kind.isOnce && isRefusal(a.status) && n > 0 {
			faults = append(faults, fmt.Sprintf("REFUSED: %s%s ran, status %d from %s", a.kind.prefix, a.id, a.status, a.vm))
		}
	}
	for _, j := range jobs {
		j.mu.Lock()
		faults = append(faults, j.faults...)
		if !j.acceptedAt.IsZero() && !j.isEnded && len(j.listed) < len(j.items) {
			faults = append(faults, fmt.Sprintf("LOST: job %s has %d results of %d", j.id, len(j.listed), len(j.items)))
		}
		for _, item := range j.items {
			if j.submits == j.refusals && count[item] > 0 {
				faults = append(faults, fmt.Sprintf("REFUSED: item %s of job %s ran", item, j.id))
			}
		}
		j.mu.Unlock()
	}
	sort.Strings(faults)
	return slices.Compact(faults)
}

// TestCheckersCatch plants a fault of each kind.
func TestCheckersCatch(t *testing.T) {
	whole := func(k kind) attempt {
		return attempt{kind: k, id: "a", vm: "v", status: 200, isWhole: true, stamp: "stamp.e", body: k.want("a")}
	}
	with := func(a attempt, change func(*attempt)) attempt {
		change(&a)
		return a
	}
	run := func(id string) standin.Run { return standin.Run{ID: id, Body: "body of " + id} }
	accepted := time.Now()
	newJob := func(tell func(*job)) *job {
		j := &job{id: "j", items: []string{"x", "y"}}
		tell(j)
		return j
	}
	x, y := result{"x", "succeeded", itemOutput("x")}, result{"y", "succeeded", itemOutput("y")}
	tests := []struct {
		name     string
		attempts []attempt
		job      *job
		runs     []standin.Run
		want     string
	}{
		{name: "whole answers", attempts: []attempt{whole(status), whole(book), whole(note)}, runs: []standin.Run{run("a")}},
		{name: "a cut stream", attempts: []attempt{with(whole(draft), func(a *attempt) {
			a.isWhole, a.body = false, a.body[:20]
		})}},
		{name: "a short stream passed off", want: "MIXED", attempts: []attempt{with(whole(note), func(a *attempt) {
			a.body = a.body[:20]
		})}},
		{name: "an event twice", want: "MIXED", attempts: []attempt{with(whole(note), func(a *attempt) {
			a.isWhole, a.body = false, a.body[:20]+a.body[10:]
		})}},
		{name: "an answer of another", want: "MIXED", attempts: []attempt{with(whole(status), func(a *attempt) {
			a.body = "answer to b"
		})}},
		{name: "no signature", want: "MIXED", attempts: []attempt{with(whole(status), func(a *attempt) { a.stamp = "" })}},
		{name: "a route that is gone", want: "LOST", attempts: []attempt{with(whole(status), func(a *attempt) { a.status = 404 })}},
		{name: "no end", want: "LATE", attempts: []attempt{with(whole(status), func(a *attempt) {
			a.status, a.took = 504, time.Minute
		})}},
		{name: "no end at a stopped VM", attempts: []attempt{with(whole(status), func(a *attempt) {
			a.status, a.took, a.isExcused = 504, time.Minute, true
		})}},
		{name: "run twice", want: "TWICE", attempts: []attempt{whole(book)}, runs: []standin.Run{run("a"), run("a")}},
		{name: "a safe one run twice", attempts: []attempt{whole(status)}, runs: []standin.Run{run("a"), run("a")}},
		{name: "refused and run", want: "REFUSED", runs: []standin.Run{run("a")}, attempts: []attempt{
			with(whole(draft), func(a *attempt) { a.status = 503 }),
		}},
		{name: "in doubt and run", runs: []standin.Run{run("a")}, attempts: []attempt{
			with(whole(draft), func(a *attempt) { a.status = 502 }),
		}},
		{name: "another's body", want: "MIXED", runs: []standin.Run{{ID: "a", Body: "body of b"}}},
		{name: "a whole job", job: newJob(func(j *job) {
			j.hear(202, accepted)
			j.read(0, 2, []result{x, y}, "v")
			j.read(1, 2, []result{y}, "w")
		})},
		{name: "an item missing", want: "LOST", job: newJob(func(j *job) {
			j.hear(202, accepted)
			j.read(0, 2, []result{x}, "v")
		})},
		{name: "a job that is gone", want: "LOST: 404", job: newJob(func(j *job) {
			j.hear(202, accepted)
			j.read(0, 2, []result{x, y}, "v")
			j.hearMissing(accepted.Add(2*settle), "w")
		})},
		{name: "positions that change", want: "MIXED", job: newJob(func(j *job) {
			j.hear(202, accepted)
			j.read(0, 2, []result{x, y}, "v")
			j.read(0, 2, []result{y, x}, "w")
		})},
		{name: "an item listed twice", want: "listed twice", job: newJob(func(j *job) {
			j.hear(202, accepted)
			j.read(0, 2, []result{x, x}, "v")
		})},
		{name: "an item of another job", want: "MIXED", job: newJob(func(j *job) {
			j.hear(202, accepted)
			j.read(0, 2, []result{x, {"z", "succeeded", itemOutput("z")}}, "v")
		})},
		{name: "a short output", want: "MIXED", job: newJob(func(j *job) {
			j.hear(202, accepted)
			j.read(0, 2, []result{x, {"y", "succeeded", "y.0"}}, "v")
		})},
		{name: "a refused job that runs", want: "REFUSED", runs: []standin.Run{run("x")}, job: newJob(func(j *job) {
			j.hear(503, accepted)
			j.hear(429, accepted)
		})},
		{name: "a job in doubt that runs", runs: []standin.Run{run("x")}, job: newJob(func(j *job) {
			j.hear(503, accepted)
			j.hear(0, accepted)
		})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var jobs []*job
			if tt.job != nil {
				jobs = append(jobs, tt.job)
			}
			faults := checkAll(tt.attempts, jobs, tt.runs)
			if tt.want == "" {
				assert.Empty(t, faults)
				return
			}
			if assert.NotEmpty(t, faults) {
				assert.Contains(t, strings.Join(faults, "\n"), tt.want)
			}
		})
	}
}
