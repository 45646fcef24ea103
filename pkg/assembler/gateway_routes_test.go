package assembler_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// TestRouteBelowABatchRouteTakesNoneOfItsItems adds a route below that of a batch job while most of the job's items wait: they
// must all run, at the service of the route that accepted the job.
func TestRouteBelowABatchRouteTakesNoneOfItsItems(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"safe", "batch_job", "a kind that no build knows"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1)
			for _, e := range f.endpoints {
				e.Step = 100 * time.Millisecond
			}
			job, items := newID("job"), newItems(40)
			require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
			require.Eventually(t, func() bool { return len(f.allRuns()) > 0 }, maxWait, 10*time.Millisecond, "no item runs")
			f.routes = append(f.routes, route(kind, "/batch/3/", "app", map[string]any{"dueMs": 18000, "maxWaitS": 60, "cap": 0}))
			f.awaitConfig()
			for _, r := range f.await(f.vms[0], job, len(items)).Results {
				assert.Equal(t, "succeeded", r.State, "item %s", r.ID)
			}
			assert.Zero(t, f.runsAt("app", "/batch/"), "items of the route to llm run at app")
		})
	}
}

// TestRemovedBatchRouteAbandonsItsItems removes a job's route, whose items the route of another job would match too.
func TestRemovedBatchRouteAbandonsItsItems(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.routes = append(f.routes, route("batch_job", "/", "app", map[string]any{"dueMs": 18000, "maxWaitS": 60, "cap": 0}))
	f.awaitConfig()
	for _, e := range f.endpoints {
		e.Step = 100 * time.Millisecond
	}
	job, items := newID("job"), newItems(40)
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	require.Eventually(t, func() bool { return len(f.allRuns()) > 0 }, maxWait, 10*time.Millisecond, "no item runs")
	f.removeRoute("/batch/")
	f.awaitConfig()
	states := map[string]int{}
	for _, r := range f.await(f.vms[0], job, len(items)).Results {
		states[r.State]++
	}
	assert.Positive(t, states["abandoned"], "results by state: %v", states)
	assert.Zero(t, f.runsAt("app", "/batch/"), "items of the route to llm run at app")
}

// runsAt returns the number of runs with the path prefix at the endpoints of a service.
func (f *testFleet) runsAt(service, prefix string) int {
	n := 0
	for _, e := range f.endpoints {
		for _, r := range e.Runs() {
			if e.Service == service && strings.HasPrefix(r.Path, prefix) {
				n++
			}
		}
	}
	return n
}

// removeRoute removes the route with the path prefix from the next configuration.
func (f *testFleet) removeRoute(prefix string) {
	var left []map[string]any
	for _, r := range f.routes {
		if r["pathPrefix"] != prefix {
			left = append(left, r)
		}
	}
	f.routes = left
}

// TestRetryStaysWithTheRouteOfItsRequest changes the routes while the first attempt of a request waits for its answer, which is
// lost then.
func TestRetryStaysWithTheRouteOfItsRequest(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		change func(f *testFleet)
		status int
	}{
		{"a route of the same kind comes below it", func(f *testFleet) {
			f.routes = append(f.routes, route("safe", "/hold/1/", "app", nil))
		}, http.StatusOK},
		{"a route of another kind comes below it", func(f *testFleet) {
			f.routes = append(f.routes, route("non_idempotent", "/hold/1/", "app", nil))
		}, http.StatusOK},
		{"it goes, and a route of its kind above it stays", func(f *testFleet) { f.removeRoute("/hold/") }, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1)
			f.routes = append(f.routes, route("safe", "/hold/", "llm", nil), route("safe", "/", "app", nil))
			f.awaitConfig()
			var attempts atomic.Int64
			goOn := make(chan struct{})
			id := newID("h")
			for _, e := range f.endpoints {
				e.SetFault(func(_ int, r *http.Request) standin.EndpointFault {
					if r.Header.Get("X-Request-Id") == id && attempts.Add(1) == 1 {
						<-goOn
						return standin.LoseAll
					}
					return standin.NoEndpointFault
				})
			}
			answers := make(chan answer)
			go func() { answers <- f.call(t.Context(), f.vms[0], http.MethodPost, "/hold/1/x", id, "") }()
			require.Eventually(t, func() bool { return attempts.Load() == 1 }, maxWait, time.Millisecond, "the request is not sent")
			c.change(f)
			f.awaitConfig()
			close(goOn)
			assert.Equal(t, c.status, (<-answers).status)
			assert.Zero(t, f.runsAt("app", "/hold/"), "the request of the route to llm runs at app")
		})
	}
}
