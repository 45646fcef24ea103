package assembler_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// TestAnswerWithoutAStatusIsNone guards against an answer with the status 000 that reaches the caller, or counts as served.
func TestAnswerWithoutAStatusIsNone(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, path string
		isStream   bool
		// isServed says that another endpoint answers.
		isServed bool
	}{
		{"a request that may be repeated", "/status/1", false, true},
		{"a request that may run once", "/book/1", false, false},
		{"a stream that is resumed", "/note/1", true, true},
		{"a stream that can't be resumed", "/draft/1", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newNoStatusFleet(t)
			id := newID("z")
			opts, whole := []callOption{withHeader("X-Deadline-Ms", "3000")}, "answer to "+id
			if c.isStream {
				opts, whole = append(opts, withHeader("X-Token-Count", "450,250")), standin.CompleteStream(id, 6)
			}
			a := f.call(context.Background(), f.vms[0], http.MethodPost, c.path, id, "body", opts...)
			require.NoError(t, a.err)
			if c.isServed {
				assert.Equal(t, http.StatusOK, a.status)
				assert.Equal(t, whole, a.body)
				return
			}
			assert.Equal(t, http.StatusBadGateway, a.status)
			assert.Len(t, f.runsOf(id), 1)
		})
	}
}

// newNoStatusFleet starts a fleet whose endpoints answer the first request of all with the status 000.
func newNoStatusFleet(t *testing.T) *testFleet {
	t.Helper()
	f := newFleet(t, 1)
	var answers atomic.Int64
	for _, e := range f.endpoints {
		e.SetFault(func(int, *http.Request) standin.EndpointFault {
			if answers.Add(1) == 1 {
				return standin.NoStatus
			}
			return standin.NoEndpointFault
		})
	}
	return f
}

// TestItemAnsweredWithoutAStatusIsRunAgain guards against a batch item whose result is an answer with the status 000.
func TestItemAnsweredWithoutAStatusIsRunAgain(t *testing.T) {
	t.Parallel()
	f := newNoStatusFleet(t)
	job, items := newID("job"), newItems(4)
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	for _, r := range f.await(f.vms[0], job, len(items)).Results {
		assert.Equal(t, "succeeded", r.State)
		assert.Equal(t, standin.CompleteOutput(r.ID, 6), r.Output)
	}
}
