package assembler_test

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

func TestRequestsAndJobsAreServed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	for _, path := range []string{"/draft/1", "/note/1"} {
		id := newID("s")
		a := f.stream(f.vms[0], path, id)
		require.NoError(t, a.err)
		assert.Equal(t, http.StatusOK, a.status)
		assert.Equal(t, standin.CompleteStream(id, 6), a.body)
		assert.NotEmpty(t, a.header.Get("X-Response-Stamp"))
		assert.Equal(t, id, a.header.Get("X-Request-Id"))
	}
	id := newID("q")
	a := f.call(context.Background(), f.vms[1], http.MethodPost, "/status/x%2Fy?a=b%20c&d", id, "where is the van")
	assert.Equal(t, "answer to "+id, a.body)
	run := f.runsOf(id)[0]
	assert.Equal(t, "/status/x%2Fy?a=b%20c&d", run.Path, "path or query changed on the way to the endpoint")
	assert.Equal(t, "where is the van", run.Body)

	items := newItems(12)
	job := newID("job")
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[1], job, items).status, "a repeated submission is accepted once")
	first, second := f.await(f.vms[0], job, len(items)), f.await(f.vms[1], job, len(items))
	assert.Equal(t, first, second, "the VMs list the results at different positions or with different contents")
	seen := map[string]bool{}
	for _, r := range first.Results {
		assert.Equal(t, "succeeded", r.State)
		assert.Equal(t, standin.CompleteOutput(r.ID, 6), r.Output)
		assert.False(t, seen[r.ID], "item listed twice")
		seen[r.ID] = true
		assert.Len(t, f.runsOf(r.ID), 1)
	}
	body := f.call(context.Background(), f.vms[1], http.MethodGet, "/items/"+job+"?id="+items[3].ID, newID("b"), "")
	assert.Equal(t, string(items[3].Body), body.body)
	_, missing := f.read(f.vms[0], "nosuchjob", 0)
	assert.Equal(t, http.StatusNotFound, missing.status)
	assert.Equal(t, http.StatusNotFound, f.stream(f.vms[0], "/nothing/", newID("s")).status)
}

// TestEndpointFaults sends one request per case to endpoints that have one of the faults.
func TestEndpointFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, path string
		fault      standin.EndpointFault
		// always applies the fault to every request instead of only the first.
		always      bool
		statuses    []int
		runs        int
		isTruncated bool
	}{
		{"a request that a full endpoint sheds goes to another", "/book/1", standin.Shed, false, []int{200}, 1, false},
		{"a request that every endpoint sheds is refused and never runs", "/book/1", standin.Shed, true, []int{503}, 0, false},
		{"a non-idempotent request runs once when its answer is lost", "/book/1", standin.LoseAll, true, []int{502}, 1, false},
		{"a non-idempotent request runs once when its answer is truncated", "/book/1", standin.Truncate, true, []int{502}, 1, false},
		{"a non-idempotent request isn't repeated after an unsigned answer", "/book/1", standin.Unsigned, true, []int{502}, 1, false},
		{"a safe request runs again when its answer is lost", "/status/1", standin.LoseAll, false, []int{200}, 2, false},
		{"a safe request runs again when its answer is truncated", "/status/1", standin.Truncate, false, []int{200}, 2, false},
		{"a safe request runs again after an unsigned answer", "/status/1", standin.Unsigned, false, []int{200}, 2, false},
		{"a request runs at most as often as its route's maxAttempts", "/status/1", standin.LoseAll, true, []int{502}, 2, false},
		{"an endpoint's error answer is relayed", "/book/1", standin.Fail, true, []int{500}, 1, false},
		{"a broken stream that can't be resumed ends truncated", "/draft/1", standin.Truncate, false, []int{200}, 1, true},
		{"a lost stream that can't be resumed isn't repeated", "/draft/1", standin.LoseAll, true, []int{502}, 1, false},
		{"a safe request is retried elsewhere if its endpoint is silent", "/status/1", standin.NoAnswer, false, []int{200}, 2, false},
		{"a resumable stream is retried elsewhere if its endpoint is silent", "/note/1", standin.NoAnswer, false, []int{200}, 2, false},
		{"a non-idempotent request waits for its silent endpoint", "/book/1", standin.NoAnswer, false, []int{504}, 1, false},
		{"a broken stream is resumed elsewhere", "/note/1", standin.Truncate, false, []int{200}, 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 1)
			var requests atomic.Int64
			for _, e := range f.endpoints {
				e.SetFault(func(int, *http.Request) standin.EndpointFault {
					if c.always || requests.Add(1) == 1 {
						return c.fault
					}
					return standin.NoEndpointFault
				})
			}
			id := newID("f")
			opts := []callOption{withHeader("X-Deadline-Ms", "3000")}
			if c.path == "/draft/1" || c.path == "/note/1" {
				opts = append(opts, withHeader("X-Token-Count", "450,250"))
			}
			a := f.call(context.Background(), f.vms[0], http.MethodPost, c.path, id, "body", opts...)
			assert.Contains(t, c.statuses, a.status, a.body)
			assert.Len(t, f.runsOf(id), c.runs)
			assert.Equal(t, c.isTruncated, a.err != nil, "a truncated answer must give the caller an error, a complete one none")
			if c.path == "/note/1" {
				assert.Equal(t, standin.CompleteStream(id, 6), a.body)
			}
			if c.runs > 0 && (a.status == 503 || a.status == 429) {
				assert.Fail(t, "the status says that the request did not run, but it ran")
			}
		})
	}
}

// TestExtraAnswerIsDropped lets endpoints send a second answer, which belongs to no request, on the same connection: no
// later caller may receive it.
func TestExtraAnswerIsDropped(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]standin.EndpointFault{
		"an answer to no request": standin.ExtraAnswer, "a late copy of the answer before": standin.Repeat,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			for _, e := range f.endpoints {
				e.SetFault(func(n int, _ *http.Request) standin.EndpointFault {
					if n%2 == 0 {
						return fault
					}
					return standin.NoEndpointFault
				})
			}
			for range 20 {
				id := newID("x")
				a := f.call(context.Background(), f.vms[0], http.MethodPost, "/status/1", id, "body", withHeader("X-Deadline-Ms", "2000"))
				require.Equal(t, 200, a.status)
				assert.Equal(t, "answer to "+id, a.body)
			}
		})
	}
}

// TestFailingItemsAreAbandoned checks that an item that always fails is abandoned after its route's maxAttempts, and an
// item that the endpoint rejects after its only run, while the other items succeed.
func TestFailingItemsAreAbandoned(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		fault    standin.EndpointFault
		min, max int
	}{
		{"an item whose every run fails", standin.Fail, 3, 3},
		{"an item that the endpoint rejects as unprocessable", standin.Unprocessable, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 1)
			items := newItems(3)
			for _, e := range f.endpoints {
				e.SetFault(func(_ int, r *http.Request) standin.EndpointFault {
					if r.Header.Get("X-Request-Id") == items[1].ID {
						return c.fault
					}
					return standin.NoEndpointFault
				})
			}
			job := newID("job")
			require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
			for _, r := range f.await(f.vms[0], job, 3).Results {
				if r.ID == items[1].ID {
					assert.Equal(t, "abandoned", r.State)
					continue
				}
				assert.Equal(t, "succeeded", r.State)
			}
			assert.GreaterOrEqual(t, len(f.runsOf(items[1].ID)), c.min)
			assert.Never(t, func() bool { return len(f.runsOf(items[1].ID)) > c.max }, 500*time.Millisecond, 10*time.Millisecond,
				"an abandoned item runs again")
		})
	}
}

// TestItemsResumeAfterTruncation truncates every third answer: each item must still give its complete output.
func TestItemsResumeAfterTruncation(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	var requests atomic.Int64
	for _, e := range f.endpoints {
		e.SetFault(func(int, *http.Request) standin.EndpointFault {
			if requests.Add(1)%3 == 1 {
				return standin.Truncate
			}
			return standin.NoEndpointFault
		})
	}
	items := newItems(6)
	job := newID("job")
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	for _, r := range f.await(f.vms[0], job, 6).Results {
		assert.Equal(t, standin.CompleteOutput(r.ID, 6), r.Output)
	}
}

func TestDisconnectedCallerStopsItsRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	for _, e := range f.endpoints {
		e.Step = 200 * time.Millisecond
	}
	id := newID("g")
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	a := f.call(ctx, f.vms[0], http.MethodPost, "/draft/1", id, "body", withHeader("X-Token-Count", "450,250"))
	require.Error(t, a.err)
	require.Eventually(t, func() bool {
		runs := f.runsOf(id)
		return len(runs) == 1 && runs[0].WasCancelled
	}, 500*time.Millisecond, 10*time.Millisecond, "the endpoint still runs the request of a caller that disconnected")
}

func TestTimeoutOfRouteEndsWaiting(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.routes[1]["timeoutMs"] = 400
	f.awaitConfig()
	for _, e := range f.endpoints {
		e.SetFault(func(int, *http.Request) standin.EndpointFault { return standin.NoAnswer })
	}
	start := time.Now()
	a := f.call(context.Background(), f.vms[0], http.MethodPost, "/book/1", newID("t"), "body", withHeader("X-Deadline-Ms", "4000"))
	assert.Equal(t, http.StatusGatewayTimeout, a.status)
	assert.Less(t, time.Since(start), 900*time.Millisecond)
}

func TestDrainingEndpointGetsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	e := f.endpoint("i-app-1")
	f.store.Put("servers", "", e.ID, e.Entry("draining"))
	f.awaitEndpoints()
	f.requireNoRequests(f.vms[0], e)
}

func TestBadRowsChangeNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.store.Put("op", "", "config", []byte("{not json"))
	f.store.Put("servers", "", "i-bad-1", map[string]any{"service": 5, "address": "nowhere"})
	f.store.Put("servers", "", "i-bad-2", map[string]any{"service": "app", "address": "10.0.0.1:1", "state": "odd", "slots": 6})
	scans := f.store.CallCounts().Reads
	f.store.DropHistory()
	require.Eventually(t, func() bool { return f.store.CallCounts().Reads >= scans+2 }, maxWait, 10*time.Millisecond,
		"tables are not read again in full after the store dropped their change history")
	f.awaitEndpoints()
	for range 10 {
		assert.Equal(t, 200, f.call(context.Background(), f.vms[0], http.MethodPost, "/status/1", newID("b"), "").status)
	}
	f.routes = f.routes[1:]
	f.configure()
	require.Eventually(t, func() bool {
		return f.call(context.Background(), f.vms[0], http.MethodPost, "/status/1", newID("b"), "").status == http.StatusNotFound
	}, maxWait, 20*time.Millisecond, "the next valid configuration does not become active")
}

// storeJob stores a job of a lost VM, with further fields of its record.
func (f *testFleet) storeJob(job string, items []jobItem, fields map[string]any) {
	f.t.Helper()
	body, err := json.Marshal(map[string]any{"items": items})
	require.NoError(f.t, err)
	req, err := http.NewRequest(http.MethodPut, f.server.URL+"/blob-put/job-"+job, bytesReader(body))
	require.NoError(f.t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	_ = res.Body.Close()
	tokens := make([]int64, 0, len(items))
	for _, i := range items {
		tokens = append(tokens, i.Tokens)
	}
	record := map[string]any{
		"id": job, "host": testHost, "routePrefix": "/batch/", "config": 3, "tokens": tokens,
		"due":    time.Now().Add(18 * time.Second).UnixMilli(),
		"holder": map[string]any{"vm": "front-lost", "incarnation": 1},
	}
	maps.Copy(record, fields)
	f.store.Put("job", partitionFor(job), job, record)
}

// TestJobOfLostVMResumesAfterCheckpoints stores a job of a lost VM with checkpoints: another VM must resume the item after
// the last checkpointed event.
func TestJobOfLostVMResumesAfterCheckpoints(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	items := newItems(2)
	job := newID("job")
	part := partitionFor(job)
	save := func(writer string, after, last int64, output string) {
		head := mustJSON(t, map[string]any{
			"item": 0, "after": after, "lastEvent": last, "writer": writer, "isFirst": after < 1,
		})
		f.store.Put("checkpoint", part, checkpointName(job, 0, after), append(append(head, '\n'), output...))
	}
	save("a", -1, 1, standin.EventData(items[0].ID, 0)+"\n"+standin.EventData(items[0].ID, 1))
	// Another VM ran the item too: its checkpoints overlap those of writer a and must not be combined with them.
	save("b", 0, 2, "\n"+standin.EventData(items[0].ID, 1)+"\n"+standin.EventData(items[0].ID, 2))
	save("a", 1, 2, "\n"+standin.EventData(items[0].ID, 2))
	f.storeJob(job, items, nil)
	for _, r := range f.await(f.vms[0], job, 2).Results {
		assert.Equal(t, standin.CompleteOutput(r.ID, 6), r.Output)
	}
	runs := f.runsOf(items[0].ID)
	require.Len(t, runs, 1)
	assert.Equal(t, "2", runs[0].LastEvent, "the run does not continue after the last checkpointed event")
}

// TestPlannedStopCompletesStreamsAndHandsJobsOver shuts one of two VMs down gracefully: its stream must be complete, and the
// other VM must complete its job without running an item twice.
func TestPlannedStopCompletesStreamsAndHandsJobsOver(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	for _, e := range f.endpoints {
		e.Step = 100 * time.Millisecond
	}
	items := newItems(30)
	job := newID("job")
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	id := newID("s")
	done := make(chan answer, 1)
	go func() { done <- f.stream(f.vms[0], "/draft/1", id) }()
	require.Eventually(t, func() bool { return len(f.runsOf(id)) == 1 && len(f.runsOf(items[0].ID)) == 1 }, maxWait,
		10*time.Millisecond, "the stream or the first item does not run")
	require.NoError(t, f.vms[0].app.Stop(context.Background()))
	a := <-done
	require.NoError(t, a.err)
	assert.Equal(t, standin.CompleteStream(id, 6), a.body)
	f.await(f.vms[1], job, len(items))
	for _, i := range items {
		assert.LessOrEqual(t, len(f.runsOf(i.ID)), 1, "an item that the stopping VM had started ran again elsewhere")
	}
}

func TestQuotaHoldsAcrossVMs(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.batchRoute()["cap"] = 20 * 940
	f.awaitConfig()
	for _, e := range f.endpoints {
		e.SetFault(func(int, *http.Request) standin.EndpointFault { return standin.NoAnswer })
	}
	statuses := make(chan int, 6)
	for n := range 6 {
		go func() { statuses <- f.submit(f.vms[n%2], newID("job"), newItems(8)).status }()
	}
	accepted := 0
	for range 6 {
		status := <-statuses
		if status == http.StatusAccepted {
			accepted++
			continue
		}
		assert.Equal(t, http.StatusTooManyRequests, status)
	}
	assert.Equal(t, 2, accepted, "a quota of 20 items must fit exactly two jobs of 8 items")
}
