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

// newOneEngineFleet makes a fleet of one VM and one engine, and quarantines the part, under whose probes no endpoint ended.
func newOneEngineFleet(t *testing.T, part string) (*testFleet, *standin.Endpoint) {
	f := newFleet(t, 1)
	e := f.endpoint("i-llm-1")
	e.Events, e.Step = 400, 20*time.Millisecond
	f.store.Remove("servers", "", "i-llm-2")
	f.awaitEndpoints()
	f.quarantine(part, 12, 11, 10)
	return f, e
}

// TestItemIsNotLeftLyingByARefusedProbe has the only engine refuse the probe of an item once.
func TestItemIsNotLeftLyingByARefusedProbe(t *testing.T) {
	t.Parallel()
	f, e := newOneEngineFleet(t, callerPart)
	items := itemsWith(callerPart, 1)
	var reached atomic.Int64
	e.SetFault(func(int, *http.Request) standin.EndpointFault {
		if reached.Add(1) == 1 {
			return standin.Shed
		}
		return standin.NoEndpointFault
	})
	f.assertBegun(items, f.submitHeld(items), maxLie)
	assert.NotZero(t, reached.Load(), "the engine refused nothing")
}

// TestItemIsNotLeftLyingByPreemptedProbes has online streams fill the only engine for a moment whenever a probe of the item runs
// there, twice.
func TestItemIsNotLeftLyingByPreemptedProbes(t *testing.T) {
	t.Parallel()
	f, e := newOneEngineFleet(t, callerPart)
	items := itemsWith(callerPart, 1)
	accepted := f.submitHeld(items)
	busy := time.Duration(0)
	for n := range 2 {
		require.Eventually(t, func() bool { return len(f.runsOf(items[0].ID)) > n }, maxWait, time.Millisecond)
		since := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range e.Slots {
			wg.Go(func() {
				f.call(ctx, f.vms[0], http.MethodPost, "/draft/1", newID("s"), "prompt", withHeader("X-Token-Count", "450,250"),
					withHeader("X-Deadline-Ms", "5000"))
			})
		}
		require.Eventually(t, func() bool { return f.runsOf(items[0].ID)[n].WasCancelled }, maxWait, time.Millisecond,
			"the probe was not preempted")
		cancel()
		wg.Wait()
		busy += time.Since(since)
	}
	require.Eventually(t, func() bool { return len(f.runsOf(items[0].ID)) > 2 }, maxWait, time.Millisecond)
	lay := time.Since(accepted) - busy
	t.Logf("the item lay for %s", lay)
	assert.LessOrEqual(t, lay, maxLie, "the item lies while the engine is idle")
}
