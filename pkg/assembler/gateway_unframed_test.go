package assembler_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// newUnframedFleet starts a fleet of one VM whose endpoints' answers end with their connections. The first request with a fault
// that isKilled reports ends its endpoint.
func newUnframedFleet(t *testing.T, isKilled func(*http.Request) bool) *testFleet {
	t.Helper()
	f := newFleet(t, 1)
	var kills atomic.Int64
	for _, e := range f.endpoints {
		e.IsUnframed = true
		e.SetFault(func(_ int, r *http.Request) standin.EndpointFault {
			if isKilled(r) && kills.Add(1) == 1 {
				return standin.Kill
			}
			return standin.NoEndpointFault
		})
	}
	return f
}

// TestUnframedAnswerOfKilledEndpointIsNotWhole guards against the close of a killed endpoint's connection that is taken for the
// end of its answer.
func TestUnframedAnswerOfKilledEndpointIsNotWhole(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, path string
		isStream   bool
		// isServed says that another endpoint completes the answer.
		isServed bool
	}{
		{"a stream that can't be resumed", "/draft/1", true, false},
		{"a stream that is resumed", "/note/1", true, true},
		{"a request that may be repeated", "/status/1", false, true},
		{"a request that may run once", "/book/1", false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newUnframedFleet(t, func(*http.Request) bool { return true })
			id := newID("k")
			opts, whole := []callOption{withHeader("X-Deadline-Ms", "3000")}, "answer to "+id
			if c.isStream {
				opts, whole = append(opts, withHeader("X-Token-Count", "450,250")), standin.CompleteStream(id, 6)
			}
			a := f.call(context.Background(), f.vms[0], http.MethodPost, c.path, id, "body", opts...)
			if c.isServed {
				require.NoError(t, a.err)
				assert.Equal(t, http.StatusOK, a.status)
				assert.Equal(t, whole, a.body)
				return
			}
			assert.False(t, a.err == nil && a.status == http.StatusOK, "a part of the answer looks whole: %q", a.body)
		})
	}
}

// TestUnframedAnswersAreWholeWhileTheirEndpointLives checks that answers that end with their connections are served at the first
// attempt, many at a time.
func TestUnframedAnswersAreWholeWhileTheirEndpointLives(t *testing.T) {
	t.Parallel()
	f := newUnframedFleet(t, func(*http.Request) bool { return false })
	var wg sync.WaitGroup
	for _, path := range []string{"/draft/1", "/note/1", "/status/1", "/book/1"} {
		for range 6 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := newID("u")
				if path == "/draft/1" || path == "/note/1" {
					a := f.stream(f.vms[0], path, id)
					assert.NoError(t, a.err)
					assert.Equal(t, standin.CompleteStream(id, 6), a.body)
					return
				}
				a := f.call(context.Background(), f.vms[0], http.MethodPost, path, id, "body", withHeader("X-Deadline-Ms", "3000"))
				assert.NoError(t, a.err)
				assert.Equal(t, "answer to "+id, a.body)
				assert.Len(t, f.runsOf(id), 1)
			}()
		}
	}
	wg.Wait()
}

// TestUnframedItemOfKilledEndpointIsNotWhole guards against an item that succeeds with a part of its output, since its endpoint
// was killed.
func TestUnframedItemOfKilledEndpointIsNotWhole(t *testing.T) {
	t.Parallel()
	f := newUnframedFleet(t, func(r *http.Request) bool { return r.Header.Get("X-Token-Count") != "" })
	for _, e := range f.endpoints {
		e.Step = 20 * time.Millisecond
	}
	job, items := newID("job"), newItems(12)
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	for _, r := range f.await(f.vms[0], job, len(items)).Results {
		assert.Equal(t, "succeeded", r.State)
		assert.Equal(t, standin.CompleteOutput(r.ID, 6), r.Output)
	}
}
