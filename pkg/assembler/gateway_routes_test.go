package assembler_test

import (
	"encoding/json"
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

// TestJobOutlivesItsRoute removes the route of a batch job whose results were read: the job's calls and its submission must be
// answered as before, also by a VM that starts later, and those of unknown jobs by 404.
func TestJobOutlivesItsRoute(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		added []map[string]any
	}{
		{"no other route has its path", nil},
		{"a route above it has its path", []map[string]any{route("safe", "/", "app", nil)}},
		{"routes have the paths of its calls", []map[string]any{
			route("safe", "/lots/", "app", nil), route("safe", "/items/", "app", nil),
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2)
			job, items := newID("job"), newItems(5)
			require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
			listed := f.await(f.vms[0], job, len(items))
			f.await(f.vms[1], job, len(items))
			f.removeRoute("/batch/")
			f.routes = append(f.routes, c.added...)
			f.awaitConfig()
			f.addVM()
			for _, vm := range f.vms {
				var again jobPage
				a := answer{status: http.StatusServiceUnavailable}
				// The VM that started last may not know the jobs yet.
				for since := time.Now(); a.status == http.StatusServiceUnavailable && time.Since(since) < maxWait; {
					again, a = f.read(vm, job, 0)
					time.Sleep(10 * time.Millisecond)
				}
				require.Equal(t, http.StatusOK, a.status, vm.name)
				assert.Equal(t, listed, again, vm.name)
				a = f.call(t.Context(), vm, http.MethodGet, "/items/"+job+"?id="+items[1].ID, newID("b"), "")
				assert.Equal(t, string(items[1].Body), a.body, vm.name)
				assert.Equal(t, http.StatusAccepted, f.submit(vm, job, items).status, vm.name)
				assert.Equal(t, http.StatusOK, f.call(t.Context(), vm, http.MethodDelete, "/lots/"+job, newID("e"), "").status, vm.name)
			}
			assert.Zero(t, f.runsAt("app", "/lots/")+f.runsAt("app", "/items/")+f.runsAt("app", "/batch/"), "a call is a request")
			unknown := f.call(t.Context(), f.vms[0], http.MethodGet, "/lots/unknown", newID("r"), "")
			if strings.HasPrefix(c.name, "routes have the paths") {
				assert.Equal(t, http.StatusOK, unknown.status)
				assert.Equal(t, 1, f.runsAt("app", "/lots/unknown"), "a request of a caller's own route is a call")
				return
			}
			assert.Equal(t, http.StatusNotFound, unknown.status)
		})
	}
}

// TestPathsOfCallsOnAHostWithoutJobs sends requests with the paths of calls to a host that never had a batch route: they are
// answered by the routes alone and cost no call to the store. A VM that can't know the jobs doesn't answer that there is none.
func TestPathsOfCallsOnAHostWithoutJobs(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.removeRoute("/batch/")
	f.routes = append(f.routes, route("safe", "/lots/", "app", nil))
	f.configure()
	vm := f.addVM()
	get := func(path string) int {
		return f.call(t.Context(), vm, http.MethodGet, path, newID("r"), "", withHeader("X-Deadline-Ms", "2000")).status
	}
	require.Eventually(t, func() bool { return get("/items/1") == http.StatusNotFound }, maxWait, 10*time.Millisecond)
	before, began := f.store.CallCounts().Reads, time.Now()
	for range 200 {
		// Between two reads of the store the VM may not know whether there is such a job.
		require.Contains(t, []int{http.StatusNotFound, http.StatusServiceUnavailable}, get("/items/1"))
		require.Equal(t, http.StatusOK, get("/lots/1"))
	}
	// The store is asked ten times a second at most; the VM reads some rows besides.
	allowed := 20 + int64(time.Since(began)/(100*time.Millisecond))
	assert.Less(t, f.store.CallCounts().Reads-before, allowed, "requests without a route are looked up in the store")
	f.store.SetFault(func(*http.Request) standin.StoreFault { return standin.Busy })
	f.server.CloseClientConnections()
	require.Eventually(t, func() bool { return get("/items/1") == http.StatusServiceUnavailable }, maxWait, 10*time.Millisecond,
		"a VM that does not reach the store answers that there is no such job")
	assert.Equal(t, http.StatusOK, get("/lots/1"))
	assert.Equal(t, http.StatusNotFound, get("/nowhere/1"))
}

// TestJobOnAHostUnknownToItsVMIsFound submits a job, whose route is removed then, while another VM's feed of jobs hangs: that VM
// has no job and no route of the host, and must not answer that there is no such job.
func TestJobOnAHostUnknownToItsVMIsFound(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	const gone = "gone.example"
	f.routes = append(f.routes, route("batch_job", "/gone/", "llm", map[string]any{
		"host": gone, "maxAttempts": 3, "dueMs": 18000, "maxWaitS": 60, "cap": 0,
	}))
	f.awaitConfig()
	f.store.SetFault(func(r *http.Request) standin.StoreFault {
		if r.UserAgent() == "dogwoodledge/"+f.vms[1].name && r.URL.Path == "/rows-feed" && r.URL.Query().Get("table") == "job" {
			return standin.Silent
		}
		return standin.NoFault
	})
	// The call that waits already is answered by this job; the next one hangs.
	first := newID("job")
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], first, newItems(1)).status)
	f.await(f.vms[1], first, 1)
	time.Sleep(time.Second)
	job := newID("job")
	body, err := json.Marshal(map[string]any{"items": newItems(1)})
	require.NoError(t, err)
	atHost := func(r *http.Request) { r.Host = gone }
	accepted := time.Now()
	a := f.call(t.Context(), f.vms[0], http.MethodPost, "/gone/1", job, string(body), atHost)
	require.Equal(t, http.StatusAccepted, a.status)
	f.removeRoute("/gone/")
	f.awaitConfig()
	time.Sleep(time.Until(accepted.Add(time.Second)))
	require.Eventually(t, func() bool {
		a := f.call(t.Context(), f.vms[1], http.MethodGet, "/lots/"+job, newID("r"), "", atHost)
		require.NotEqual(t, http.StatusNotFound, a.status, "%s after the job was accepted", time.Since(accepted))
		return a.status == http.StatusOK
	}, 2*time.Second, 50*time.Millisecond)
}
