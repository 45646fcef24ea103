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

// kind is a kind of request with its own route.
type kind struct {
	prefix, routeKind, service string
	isStream                   bool
	// isOnce marks kinds of which each request may run at most once.
	isOnce bool
	extra  map[string]any
	// host is the route's host, if it isn't the one of all others.
	host string
}

const (
	routeTimeout = 3 * time.Second
	// slack is added to time bounds of seconds for delays of a busy machine.
	slack        = 5 * time.Second
	streamEvents = 6
)

var (
	status    = kind{prefix: "/status/", routeKind: "safe", service: "app"}
	book      = kind{prefix: "/book/", routeKind: "non_idempotent", service: "app", isOnce: true}
	draft     = kind{prefix: "/draft/", routeKind: "stream", service: "llm", isStream: true, isOnce: true}
	note      = kind{prefix: "/note/", routeKind: "stream", service: "llm", isStream: true, extra: map[string]any{"resumable": true}}
	batchJobs = kind{
		prefix: "/lot/", routeKind: "batch_job", service: "llm",
		extra: map[string]any{"maxAttempts": 3, "dueMs": 18000, "maxWaitS": 120, "cap": 0},
	}
	kinds = []kind{status, book, draft, note, batchJobs}
)

func (k kind) route() map[string]any {
	r := map[string]any{
		"name": "r-" + strings.Trim(k.prefix, "/"), "host": host, "pathPrefix": k.prefix, "kind": k.routeKind, "service": k.service,
		"timeoutMs": routeTimeout.Milliseconds(), "targetLatencyMs": 500, "maxAttempts": 3, "priority": 0,
	}
	if k.host != "" {
		r["host"] = k.host
	}
	for name, value := range k.extra {
		r[name] = value
	}
	return r
}

// attempt is one request of a caller and its outcome.
type attempt struct {
	kind   kind
	id, vm string
	// status is 0 without an answer; isComplete says that the body ended as HTTP requires, not by an abort.
	status     int
	isComplete bool
	stamp      string
	body       string
	// resumed is what was received of the stream that the attempt resumes; empty for others.
	resumed string
	took    time.Duration
	// isExcused exempts the attempt from the time bound: the VM was down in the meantime, or bounds are not checked.
	isExcused bool
}

// want returns the complete answer to a request.
func (k kind) want(id string) string {
	if !k.isStream {
		return "answer to " + id
	}
	return standin.CompleteStream(id, streamEvents)
}

// newerVersion is the software version of endpoints that are added besides those of standin.DefaultVersion.
const newerVersion = "v2"

func countEvents(text string) int { return strings.Count(text, "\n\n") }

// isMixed reports whether events of a stream are by both software versions.
func isMixed(text string) bool {
	newer := strings.Count(text, "@"+newerVersion+"\n\n")
	return newer > 0 && newer < countEvents(text)
}

// withoutVersion returns the text as standin.DefaultVersion writes it.
func withoutVersion(text string) string { return strings.ReplaceAll(text, "@"+newerVersion, "") }

// isItemOutput reports whether one software version wrote the output of the item.
func isItemOutput(id, output string) bool {
	newer := strings.ReplaceAll(itemOutput(id)+"\n", "\n", "@"+newerVersion+"\n")
	return output == itemOutput(id) || output+"\n" == newer
}

func itemOutput(id string) string {
	if isLong(id) {
		return standin.CompleteOutput(id, longEvents)
	}
	return standin.CompleteOutput(id, streamEvents)
}

// isRefusal reports whether a status promises that the request has not run and never will.
func isRefusal(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

// check returns the violations that this answer alone shows.
func (a attempt) check() []string {
	var violations []string
	want := a.kind.want(a.id)
	if n := countEvents(a.resumed); n > 0 {
		want = standin.StreamFrom(a.id, n, streamEvents)
	}
	if a.status == http.StatusOK && isMixed(a.resumed+a.body) {
		violations = append(violations, fmt.Sprintf("ORDER: %q is by two software versions", a.resumed+a.body))
	}
	a.body = withoutVersion(a.body)
	switch {
	case a.status == http.StatusOK && a.isComplete && a.body != want:
		violations = append(violations, fmt.Sprintf("MIXED: %q ended as if complete", a.body))
	case a.status == http.StatusOK && !strings.HasPrefix(want, a.body):
		violations = append(violations, fmt.Sprintf("MIXED: %q is not a prefix of the answer", a.body))
	case a.status == http.StatusOK && !strings.HasPrefix(a.stamp, "stamp."):
		violations = append(violations, fmt.Sprintf("MIXED: signature is %q", a.stamp))
	case a.status == http.StatusNotFound:
		violations = append(violations, "LOST: 404 on a route that was configured throughout")
	}
	if a.took > routeTimeout+slack && !a.isExcused {
		violations = append(violations, fmt.Sprintf("LATE: ended after %s, bound %s", a.took.Round(time.Millisecond), routeTimeout))
	}
	for i, v := range violations {
		violations[i] = fmt.Sprintf("%s (%s%s at %s, status %d)", v, a.kind.prefix, a.id, a.vm, a.status)
	}
	return violations
}

// job is a batch job and what the answers to its calls said.
type job struct {
	id    string
	items []string
	// kind is that of the job's route; batchJobs if it has no prefix.
	kind kind

	mu sync.Mutex
	// acceptedAt is the time of the first 202; refusals counts the answers which promise that nothing runs.
	acceptedAt time.Time
	submits    int
	refusals   int
	isEnded    bool
	// listed holds the results read so far, by position, and listedAt when each was read first.
	listed     []result
	listedAt   []time.Time
	violations []string
}

type result struct{ ID, State, Output string }

// route returns the kind and the host of the job's route.
func (j *job) route() (kind, string) {
	if j.kind.prefix == "" {
		return batchJobs, host
	}
	return j.kind, j.kind.host
}

func (j *job) addViolation(format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf("job %s: ", j.id)+fmt.Sprintf(format, args...))
}

// recordSubmission records the answer to a submission.
func (j *job) recordSubmission(status int, now time.Time) {
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

// visibleWithin is how long after its 202 a job may still be answered with 404.
const visibleWithin = time.Second

// recordNotFound records a 404 to a call that began at the given time.
func (j *job) recordNotFound(began time.Time, vm string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.acceptedAt.IsZero() && began.Sub(j.acceptedAt) > visibleWithin {
		j.addViolation("LOST: 404 from %s, accepted %s before", vm, began.Sub(j.acceptedAt).Round(time.Millisecond))
	}
}

// recordResults records a page of results, which starts at position after.
func (j *job) recordResults(after, total int, results []result, vm string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if total != len(j.items) {
		j.addViolation("MIXED: total is %d, want %d, from %s", total, len(j.items), vm)
	}
	for i, r := range results {
		position := after + i
		switch {
		case position < len(j.listed) && j.listed[position] != r:
			j.addViolation("MIXED: position %d was %+v, is %+v from %s", position, j.listed[position], r, vm)
		case position < len(j.listed):
		case position > len(j.listed):
			j.addViolation("MIXED: position %d listed, but %d is the next, from %s", position, len(j.listed), vm)
			return
		case !slices.Contains(j.items, r.ID):
			j.addViolation("MIXED: item %q belongs to another job", r.ID)
		case slices.ContainsFunc(j.listed, func(l result) bool { return l.ID == r.ID }):
			j.addViolation("MIXED: item %s is listed twice", r.ID)
		case r.State != "succeeded" || !isItemOutput(r.ID, r.Output):
			j.addViolation("MIXED: item %s is %s with %q", r.ID, r.State, r.Output)
		}
		if position == len(j.listed) {
			j.listed = append(j.listed, r)
			j.listedAt = append(j.listedAt, time.Now())
		}
	}
}

// isAccepted reports whether a submission was answered with 202.
func (j *job) isAccepted() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.acceptedAt.IsZero()
}

// isDone reports whether no result of the job is pending: not accepted, ended by its caller, or complete.
func (j *job) isDone() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.acceptedAt.IsZero() || j.isEnded || len(j.listed) == len(j.items)
}

// checkAll returns the violations found in what callers and endpoints observed.
func checkAll(attempts []attempt, jobs []*job, runs []standin.Run) []string {
	var violations []string
	count := map[string]int{}
	for _, r := range runs {
		count[r.ID]++
		if r.Body != "body of "+r.ID {
			violations = append(violations, fmt.Sprintf("MIXED: %s arrived with body %q", r.ID, r.Body))
		}
	}
	for _, a := range attempts {
		violations = append(violations, a.check()...)
		if n := count[a.id]; a.kind.isOnce && n > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: %s%s ran %d times, status %d", a.kind.prefix, a.id, n, a.status))
		}
		if n := count[a.id]; a.kind.isOnce && isRefusal(a.status) && n > 0 {
			violations = append(violations, fmt.Sprintf("REFUSED: %s%s ran, status %d from %s", a.kind.prefix, a.id, a.status, a.vm))
		}
	}
	for _, j := range jobs {
		j.mu.Lock()
		violations = append(violations, j.violations...)
		if !j.acceptedAt.IsZero() && !j.isEnded && len(j.listed) < len(j.items) {
			violations = append(violations, fmt.Sprintf("LOST: job %s has %d results of %d", j.id, len(j.listed), len(j.items)))
		}
		for _, item := range j.items {
			if j.submits == j.refusals && count[item] > 0 {
				violations = append(violations, fmt.Sprintf("REFUSED: item %s of job %s ran", item, j.id))
			}
		}
		j.mu.Unlock()
	}
	sort.Strings(violations)
	return slices.Compact(violations)
}

// TestCheckersCatch gives checkAll a violation of each kind, and allowed observations that it must pass.
func TestCheckersCatch(t *testing.T) {
	complete := func(k kind) attempt {
		return attempt{kind: k, id: "a", vm: "v", status: 200, isComplete: true, stamp: "stamp.e", body: k.want("a")}
	}
	with := func(a attempt, change func(*attempt)) attempt {
		change(&a)
		return a
	}
	run := func(id string) standin.Run { return standin.Run{ID: id, Body: "body of " + id} }
	accepted := time.Now()
	newJob := func(record func(*job)) *job {
		j := &job{id: "j", items: []string{"x", "y"}}
		record(j)
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
		{name: "complete answers", attempts: []attempt{
			complete(status), complete(book), complete(note),
		}, runs: []standin.Run{run("a")}},
		{name: "a truncated stream", attempts: []attempt{with(complete(draft), func(a *attempt) {
			a.isComplete, a.body = false, a.body[:20]
		})}},
		{name: "a truncated stream that ends as complete", want: "MIXED", attempts: []attempt{with(complete(note), func(a *attempt) {
			a.body = a.body[:20]
		})}},
		{name: "an event twice", want: "MIXED", attempts: []attempt{with(complete(note), func(a *attempt) {
			a.isComplete, a.body = false, a.body[:20]+a.body[10:]
		})}},
		{name: "a stream by the newer software version", attempts: []attempt{with(complete(note), func(a *attempt) {
			a.body = strings.ReplaceAll(a.body, "\n\n", "@v2\n\n")
		})}},
		{name: "a stream that goes on by the newer software version", want: "ORDER", attempts: []attempt{
			with(complete(note), func(a *attempt) { a.body = strings.Replace(a.body, "a.5\n\n", "a.5@v2\n\n", 1) }),
		}},
		{name: "a resumed stream", attempts: []attempt{with(complete(note), func(a *attempt) {
			a.resumed, a.body = standin.CompleteStream("b", 2), standin.StreamFrom("a", 2, streamEvents)
		})}},
		{name: "a stream resumed by the newer software version", want: "ORDER", attempts: []attempt{
			with(complete(note), func(a *attempt) {
				a.resumed = standin.CompleteStream("b", 2)
				a.body = strings.ReplaceAll(standin.StreamFrom("a", 2, streamEvents), "\n\n", "@v2\n\n")
			}),
		}},
		{name: "an output by two software versions", want: "MIXED", job: newJob(func(j *job) {
			j.recordSubmission(202, accepted)
			mixed := strings.Replace(itemOutput("y"), "y.0", "y.0@v2", 1)
			j.recordResults(0, 2, []result{x, {"y", "succeeded", mixed}}, "v")
		})},
		{name: "the answer to another request", want: "MIXED", attempts: []attempt{with(complete(status), func(a *attempt) {
			a.body = "answer to b"
		})}},
		{name: "no signature", want: "MIXED", attempts: []attempt{with(complete(status), func(a *attempt) { a.stamp = "" })}},
		{name: "a missing route", want: "LOST", attempts: []attempt{with(complete(status), func(a *attempt) { a.status = 404 })}},
		{name: "an answer past the time bound", want: "LATE", attempts: []attempt{with(complete(status), func(a *attempt) {
			a.status, a.took = 504, time.Minute
		})}},
		{name: "an answer past the time bound at a VM that was down", attempts: []attempt{with(complete(status), func(a *attempt) {
			a.status, a.took, a.isExcused = 504, time.Minute, true
		})}},
		{name: "run twice", want: "TWICE", attempts: []attempt{complete(book)}, runs: []standin.Run{run("a"), run("a")}},
		{name: "a safe request run twice", attempts: []attempt{complete(status)}, runs: []standin.Run{run("a"), run("a")}},
		{name: "refused and run", want: "REFUSED", runs: []standin.Run{run("a")}, attempts: []attempt{
			with(complete(draft), func(a *attempt) { a.status = 503 }),
		}},
		{name: "outcome unknown and run", runs: []standin.Run{run("a")}, attempts: []attempt{
			with(complete(draft), func(a *attempt) { a.status = 502 }),
		}},
		{name: "the body of another request", want: "MIXED", runs: []standin.Run{{ID: "a", Body: "body of b"}}},
		{name: "a complete job", job: newJob(func(j *job) {
			j.recordSubmission(202, accepted)
			j.recordResults(0, 2, []result{x, y}, "v")
			j.recordResults(1, 2, []result{y}, "w")
		})},
		{name: "an item missing", want: "LOST", job: newJob(func(j *job) {
			j.recordSubmission(202, accepted)
			j.recordResults(0, 2, []result{x}, "v")
		})},
		{name: "an accepted job not found", want: "LOST: 404", job: newJob(func(j *job) {
			j.recordSubmission(202, accepted)
			j.recordResults(0, 2, []result{x, y}, "v")
			j.recordNotFound(accepted.Add(2*visibleWithin), "w")
		})},
		{name: "results that change position", want: "MIXED", job: newJob(func(j *job) {
			j.recordSubmission(202, accepted)
			j.recordResults(0, 2, []result{x, y}, "v")
			j.recordResults(0, 2, []result{y, x}, "w")
		})},
		{name: "an item listed twice", want: "listed twice", job: newJob(func(j *job) {
			j.recordSubmission(202, accepted)
			j.recordResults(0, 2, []result{x, x}, "v")
		})},
		{name: "an item of another job", want: "MIXED", job: newJob(func(j *job) {
			j.recordSubmission(202, accepted)
			j.recordResults(0, 2, []result{x, {"z", "succeeded", itemOutput("z")}}, "v")
		})},
		{name: "a truncated output", want: "MIXED", job: newJob(func(j *job) {
			j.recordSubmission(202, accepted)
			j.recordResults(0, 2, []result{x, {"y", "succeeded", "y.0"}}, "v")
		})},
		{name: "an item abandoned too early", want: "MIXED", job: newJob(func(j *job) {
			j.recordSubmission(202, accepted)
			j.recordResults(0, 2, []result{x, {"y", "abandoned", ""}}, "v")
		})},
		{name: "a refused job that runs", want: "REFUSED", runs: []standin.Run{run("x")}, job: newJob(func(j *job) {
			j.recordSubmission(503, accepted)
			j.recordSubmission(429, accepted)
		})},
		{name: "a job of unknown outcome that runs", runs: []standin.Run{run("x")}, job: newJob(func(j *job) {
			j.recordSubmission(503, accepted)
			j.recordSubmission(0, accepted)
		})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var jobs []*job
			if tt.job != nil {
				jobs = append(jobs, tt.job)
			}
			violations := checkAll(tt.attempts, jobs, tt.runs)
			if tt.want == "" {
				assert.Empty(t, violations)
				return
			}
			if assert.NotEmpty(t, violations) {
				assert.Contains(t, strings.Join(violations, "\n"), tt.want)
			}
		})
	}
}
