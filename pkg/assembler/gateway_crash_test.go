package assembler_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	callerPart   = "5c1e07a2"
	crashingPart = "91bd3f06"
	// timeToReact is the users' stableMs.
	timeToReact = 4 * time.Second
)

// crashingFleet is a fleet whose engines crash when they begin to answer a request with the crashing part. Each is back after
// 300 ms under another id.
type crashingFleet struct {
	*testFleet

	mu      sync.Mutex
	crashes int
	lastAt  time.Time
	// fifthAt is when the fifth engine ended.
	fifthAt time.Time
	reached atomic.Int64
	// reachedLate counts the requests with the part that reached an engine later than timeToReact after the fifth crash.
	reachedLate atomic.Int64
}

func newCrashingFleet(t *testing.T, vms, engines int) *crashingFleet {
	f := &crashingFleet{testFleet: newFleet(t, vms)}
	for _, e := range f.endpoints {
		if e.Service == "llm" {
			f.arm(e)
		}
	}
	for n := range engines - 2 {
		f.arm(f.addEndpoint(fmt.Sprintf("i-llm-%d", n+3), "llm"))
	}
	f.awaitEndpoints()
	return f
}

// arm makes the engine crash under the crashing part.
func (f *crashingFleet) arm(e *standin.Endpoint) {
	e.SetFault(func(_ int, r *http.Request) standin.EndpointFault {
		if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashingPart) {
			return standin.NoEndpointFault
		}
		f.reached.Add(1)
		f.mu.Lock()
		isLate := !f.fifthAt.IsZero() && time.Since(f.fifthAt) > timeToReact
		f.mu.Unlock()
		if isLate {
			f.reachedLate.Add(1)
		}
		return standin.Crash
	})
	e.OnCrash = func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.crashes++
		f.lastAt = time.Now()
		if f.crashes == 5 {
			f.fifthAt = f.lastAt
		}
		next := fmt.Sprintf("%s-%d", e.ID, f.crashes)
		time.AfterFunc(300*time.Millisecond, func() {
			f.store.Remove("servers", "", e.ID)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.arm(f.addEndpoint(next, "llm"))
		})
	}
}

// ask sends a request whose prompt has the caller's part, the part given, and one of its own, as its body has.
func (f *testFleet) ask(vm *testVM, path, part string) answer {
	id := newID("p")
	return f.call(f.t.Context(), vm, http.MethodPost, path, id, "prompt "+id, withHeader("X-Token-Count", "450,250"),
		withHeader("X-Deadline-Ms", "5000"), withHeader("X-Prompt-Prefix", callerPart+":200,"+part+":100,"+id[1:]+":150"))
}

// TestPromptThatCrashesEndpointsIsNotSentOn sends requests with one part in common that crashes each engine, through all VMs and
// on routes whose requests may and may not be repeated, beside sound requests of the same caller.
func TestPromptThatCrashesEndpointsIsNotSentOn(t *testing.T) {
	t.Parallel()
	f := newCrashingFleet(t, 3, 6)
	var served, sent atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := n; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				sent.Add(1)
				if a := f.ask(f.vms[i%3], "/draft/1", fmt.Sprintf("abc%d", i%7)); a.status == http.StatusOK && a.err == nil {
					served.Add(1)
				}
			}
		}()
	}
	statuses := map[int]int{}
	for i := range 60 {
		a := f.ask(f.vms[i%3], []string{"/draft/1", "/note/1"}[i%2], crashingPart)
		statuses[a.status]++
		if a.status == http.StatusServiceUnavailable {
			assert.NotEmpty(t, a.header.Get("Retry-After"))
		}
		time.Sleep(150 * time.Millisecond)
	}
	sentBefore, servedBefore := sent.Load(), served.Load()
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("reached %d, late %d, crashes %d, statuses %v, sound requests: served %d of %d", f.reached.Load(), f.reachedLate.Load(),
		f.crashes, statuses, served.Load(), sent.Load())
	require.GreaterOrEqual(t, f.reached.Load(), int64(2), "no engine crashed")
	assert.LessOrEqual(t, f.reachedLate.Load(), int64(3), "requests that crash engines still reach them")
	assert.GreaterOrEqual(t, float64(served.Load()-servedBefore), 0.9*float64(sent.Load()-sentBefore),
		"sound requests with the same first part are not served")
}

// awaitRefused sends requests with the crashing part through the VM until one is refused, and returns how many were not.
func (f *crashingFleet) awaitRefused(vm *testVM) int {
	f.t.Helper()
	n := 0
	require.Eventually(f.t, func() bool {
		a := f.ask(vm, "/draft/1", crashingPart)
		if a.status != http.StatusServiceUnavailable {
			n++
		}
		return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, crashingPart)
	}, maxWait, 50*time.Millisecond, "requests with the crashing part are not refused")
	return n
}

// TestQuarantineOutlivesAllVMs stops all VMs after a part was quarantined: a new VM must refuse it from the start.
func TestQuarantineOutlivesAllVMs(t *testing.T) {
	t.Parallel()
	f := newCrashingFleet(t, 2, 6)
	f.awaitRefused(f.vms[0])
	require.Eventually(t, func() bool { return f.store.Count("quarantine") > 0 }, maxWait, 10*time.Millisecond)
	for _, vm := range f.vms {
		require.NoError(t, vm.app.Stop(t.Context()))
	}
	before := f.reached.Load()
	vm := f.addVM()
	require.Eventually(t, func() bool { return f.ask(vm, "/draft/1", "abc1").status == http.StatusOK }, maxWait, 10*time.Millisecond)
	f.awaitRefused(vm)
	assert.LessOrEqual(t, f.reached.Load()-before, int64(1), "a new VM does not know the quarantined part")
}

// TestQuarantineWithoutTheStore lets engines crash while the store refuses all calls: the VMs learn of the strikes from each
// other, and the store has them when it is back.
func TestQuarantineWithoutTheStore(t *testing.T) {
	t.Parallel()
	f := newCrashingFleet(t, 3, 12)
	f.store.SetFault(func(*http.Request) standin.StoreFault { return standin.Busy })
	// VMs ask each other once they have noticed that the store is away.
	time.Sleep(4 * time.Second)
	for n := range 3 {
		f.ask(f.vms[n], "/draft/1", crashingPart)
		// Endpoints that end at once count as one.
		time.Sleep(300 * time.Millisecond)
	}
	before := f.reached.Load()
	time.Sleep(3 * time.Second)
	for _, vm := range f.vms {
		f.awaitRefused(vm)
	}
	assert.LessOrEqual(t, f.reached.Load()-before, int64(1), "the VMs don't know of each other's strikes")
	f.store.SetFault(func(*http.Request) standin.StoreFault { return standin.NoFault })
	require.Eventually(t, func() bool { return f.store.Count("quarantine") >= 3 }, maxWait, 10*time.Millisecond)
}

// TestLostAnswersQuarantineNothing makes engines that live on lose all answers to requests with one part.
func TestLostAnswersQuarantineNothing(t *testing.T) {
	t.Parallel()
	f := newCrashingFleet(t, 2, 6)
	const part = "abc1"
	for _, e := range f.endpoints {
		e.SetFault(func(n int, r *http.Request) standin.EndpointFault {
			if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), part) {
				return standin.NoEndpointFault
			}
			return []standin.EndpointFault{standin.LoseAll, standin.Truncate}[n%2]
		})
	}
	for n := range 24 {
		assert.NotEqual(t, http.StatusServiceUnavailable, f.ask(f.vms[n%2], "/draft/1", part).status)
	}
	assert.Never(t, func() bool { return f.store.Count("quarantine") > 0 }, 500*time.Millisecond, 20*time.Millisecond)
}

// TestCompletedRequestRefutesStrikes stores strikes against a part while a request with it runs, beside rows that can't be
// decoded. The part is refused until that request is completed, on all VMs.
func TestCompletedRequestRefutesStrikes(t *testing.T) {
	t.Parallel()
	f := newCrashingFleet(t, 2, 6)
	const part = "abc1"
	for _, e := range f.endpoints {
		e.Step = 300 * time.Millisecond
	}
	done := make(chan answer, 1)
	go func() { done <- f.ask(f.vms[0], "/draft/1", part) }()
	isRunning := func() bool {
		return slices.ContainsFunc(f.allRuns(), func(r standin.Run) bool { return r.Header.Get("X-Prompt-Prefix") != "" })
	}
	require.Eventually(t, isRunning, maxWait, time.Millisecond)
	for _, key := range []string{"", "/", "x", "x/", "/x", part + "/", "/answer", part + "/old@1", part + "/refuted"} {
		f.store.Put("quarantine", "", key, []byte("x@1"))
	}
	for n := range 3 {
		value := fmt.Appendf(nil, "1@%d", time.Now().Add(time.Duration(n-3)*time.Second).UnixMilli())
		f.store.Put("quarantine", "", fmt.Sprintf("%s/e-%d@1", part, n), value)
	}
	time.Sleep(300 * time.Millisecond)
	for _, vm := range f.vms {
		assert.Equal(t, http.StatusServiceUnavailable, f.ask(vm, "/draft/1", part).status, "the stored strikes are not known")
	}
	assert.Equal(t, http.StatusOK, (<-done).status)
	for _, vm := range f.vms {
		require.Eventually(t, func() bool { return f.ask(vm, "/draft/1", part).status == http.StatusOK }, maxWait,
			10*time.Millisecond, "a part of a completed request is still refused")
	}
}

// TestItemThatCrashesEndpointsIsAbandoned submits a job of which one item has the crashing part: the item waits once the part is
// quarantined, and is abandoned when the route allows it; the others succeed.
func TestItemThatCrashesEndpointsIsAbandoned(t *testing.T) {
	t.Parallel()
	f := newCrashingFleet(t, 1, 6)
	f.batchRoute()["maxWaitS"] = 4
	f.awaitConfig()
	items := newItems(6)
	for n := range items {
		part := "abc1"
		if n == 2 {
			part = crashingPart
		}
		items[n].Headers["X-Prompt-Prefix"] = callerPart + ":200," + part + ":100,f0:150"
	}
	job := newID("job")
	start := time.Now()
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	for _, r := range f.await(f.vms[0], job, len(items)).Results {
		want := "succeeded"
		if r.ID == items[2].ID {
			want = "abandoned"
		}
		assert.Equal(t, want, r.State)
	}
	assert.GreaterOrEqual(t, time.Since(start), 4*time.Second)
	assert.LessOrEqual(t, f.reached.Load(), int64(5))
}

// TestItemsThatCrashEndpointsSeldomReachThem submits a job all of whose items have the crashing part.
func TestItemsThatCrashEndpointsSeldomReachThem(t *testing.T) {
	t.Parallel()
	f := newCrashingFleet(t, 3, 12)
	items := newItems(24)
	for n := range items {
		items[n].Headers["X-Prompt-Prefix"] = callerPart + ":200," + crashingPart + ":100,f0:150"
	}
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], newID("job"), items).status)
	time.Sleep(5 * timeToReact)
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("reached %d, late %d, crashes %d", f.reached.Load(), f.reachedLate.Load(), f.crashes)
	assert.GreaterOrEqual(t, f.crashes, 3)
	assert.LessOrEqual(t, f.reachedLate.Load(), int64(3), "items that crash engines still reach them")
}
