package assembler_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// fragileFleet is a fleet whose endpoints of one service crash when they begin a request with the body "crash". Each is back
// after some time under another id.
type fragileFleet struct {
	*testFleet
	service  string
	backTime time.Duration

	mu      sync.Mutex
	crashes int
	// thirdAt is when the third endpoint ended, and late counts the crashing requests that reached an endpoint later than
	// timeToReact after that.
	thirdAt time.Time
	late    int
}

func newFragileFleet(t *testing.T, vms, endpoints int, service string) *fragileFleet {
	f := &fragileFleet{testFleet: newFleet(t, vms), service: service, backTime: 300 * time.Millisecond}
	for _, e := range f.endpoints {
		if e.Service == service {
			f.arm(e)
		}
	}
	for n := range endpoints - 2 {
		f.arm(f.addEndpoint(fmt.Sprintf("i-%s-%d", service, n+3), service))
	}
	f.awaitEndpoints()
	return f
}

func (f *fragileFleet) arm(e *standin.Endpoint) {
	e.SetFault(func(_ int, r *http.Request) standin.EndpointFault {
		body, _ := io.ReadAll(r.Body)
		if string(body) != "crash" {
			return standin.NoEndpointFault
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.thirdAt.IsZero() && time.Since(f.thirdAt) > timeToReact {
			f.late++
		}
		return standin.Crash
	})
	e.OnCrash = func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.crashes++
		if f.crashes == 3 {
			f.thirdAt = time.Now()
		}
		next := fmt.Sprintf("%s-%d", e.ID, f.crashes)
		time.AfterFunc(f.backTime, func() {
			f.store.Remove("servers", "", e.ID)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.arm(f.addEndpoint(next, f.service))
		})
	}
}

// repeat sends the request that crashes endpoints through all VMs, n times.
func (f *fragileFleet) repeat(n int, path string) map[int]int {
	statuses := map[int]int{}
	for i := range n {
		a := f.call(f.t.Context(), f.vms[i%len(f.vms)], http.MethodPost, path, newID("c"), "crash", withHeader("X-Deadline-Ms", "1500"))
		statuses[a.status]++
		time.Sleep(150 * time.Millisecond)
	}
	return statuses
}

// TestRepeatedRequestThatCrashesEndpointsIsNotSentOn sends one request of a plain service again and again at all VMs. An endpoint
// that begins it crashes. Other requests with the same path are served after that, while it is refused.
func TestRepeatedRequestThatCrashesEndpointsIsNotSentOn(t *testing.T) {
	for _, path := range []string{"/status/7", "/book/7"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newFragileFleet(t, 3, 4, "app")
			statuses := f.repeat(70, path)
			served := 0
			for i := range 20 {
				if f.call(t.Context(), f.vms[i%3], http.MethodPost, path, newID("s"), "sound").status == http.StatusOK {
					served++
				}
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			t.Logf("crashes %d, late %d, statuses %v, sound requests served %d of 20", f.crashes, f.late, statuses, served)
			require.GreaterOrEqual(t, f.crashes, 3)
			assert.LessOrEqual(t, f.late, 3, "a request that crashes endpoints still reaches them")
			assert.Equal(t, 20, served, "other requests with the same path are not served")
		})
	}
}

// TestItemThatCrashesEnginesIsContainedBesideSoundItems submits a job whose items have all parts of their prompts in common; one
// of them crashes each engine that begins it. It guards against the progress of the sound ones speaking for that one.
func TestItemThatCrashesEnginesIsContainedBesideSoundItems(t *testing.T) {
	t.Parallel()
	f := newFragileFleet(t, 3, 6, "llm")
	f.mu.Lock()
	for _, e := range f.endpoints {
		e.Events, e.Step = 60, 50*time.Millisecond
	}
	f.mu.Unlock()
	items := newItems(36)
	for n := range items {
		items[n].Headers["X-Prompt-Prefix"] = callerPart + ":200,f0:150"
	}
	items[3].Body = []byte("crash")
	job := newID("job")
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	results := f.await(f.vms[0], job, len(items)-1).Results
	for _, r := range results {
		assert.NotEqual(t, items[3].ID, r.ID)
		assert.Equal(t, "succeeded", r.State)
	}
	time.Sleep(2 * timeToReact)
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("crashes %d, late %d", f.crashes, f.late)
	require.GreaterOrEqual(t, f.crashes, 3)
	assert.LessOrEqual(t, f.late, 3, "an item that crashes engines still reaches them")
}
