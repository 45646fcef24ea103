package granter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
)

// batchRecorder is a BatchRunner that records the calls of the allocators.
type batchRecorder struct {
	mu    sync.Mutex
	calls []string
}

func (b *batchRecorder) record(what, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, what+" "+id)
}

// StartItem records the start.
func (b *batchRecorder) StartItem(_, id string) { b.record("start", id) }

// SuspendItem records the suspension.
func (b *batchRecorder) SuspendItem(_, id string) { b.record("suspend", id) }

func newTestGranter(b *batchRecorder, slots int) *Granter {
	g := New(func(endpoint string) (allocator.Policy, bool) {
		return allocator.Policy{
			Slots: slots, FirstTokenTarget: time.Second, TokenGapTarget: 100 * time.Millisecond, QueueLimit: 8, LatencyHeadroom: 1,
		}, endpoint == "engine-1"
	})
	g.Start(b)
	return g
}

func newRequest(id string, within time.Duration) Request {
	return Request{
		ID: id, VM: "vm-1", Endpoint: "engine-1", Account: "office", Tokens: 10,
		Deadline: time.Now().Add(within), HoldUntil: time.Now().Add(time.Minute),
	}
}

func TestQueuedRequestGetsTheReleasedSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGranter(&batchRecorder{}, 1)
		defer g.Stop()
		_, err := g.Reserve(t.Context(), newRequest("a", time.Second))
		require.NoError(t, err)
		got := make(chan error, 1)
		go func() {
			_, err := g.Reserve(t.Context(), newRequest("b", 5*time.Second))
			got <- err
		}()
		synctest.Wait()
		// Virtual time of synctest: this sleep takes no real time.
		time.Sleep(2 * time.Second)
		g.Submit("engine-1", allocator.SlotReleased{ID: "a", Report: allocator.Report{Took: 2 * time.Second}})
		require.NoError(t, <-got)
	})
}

func TestQueuedRequestIsRefusedAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGranter(&batchRecorder{}, 1)
		defer g.Stop()
		_, err := g.Reserve(t.Context(), newRequest("a", time.Second))
		require.NoError(t, err)
		startedAt := time.Now()
		_, err = g.Reserve(t.Context(), newRequest("b", 3*time.Second))
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		assert.Equal(t, 3*time.Second, time.Since(startedAt), "the refusal comes exactly at the deadline")
		assert.Positive(t, refused.RetryAfter)
	})
}

// TestCancelledCallerFreesItsSlot cancels a queued caller: no slot may be left reserved for it.
func TestCancelledCallerFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGranter(&batchRecorder{}, 1)
		defer g.Stop()
		_, err := g.Reserve(t.Context(), newRequest("a", time.Second))
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			// Virtual time of synctest: this sleep takes no real time.
			time.Sleep(time.Second)
			cancel()
		}()
		_, err = g.Reserve(ctx, newRequest("b", 30*time.Second))
		require.ErrorIs(t, err, context.Canceled)
		g.Submit("engine-1", allocator.SlotReleased{ID: "a"})
		_, err = g.Reserve(t.Context(), newRequest("c", time.Second))
		require.NoError(t, err, "the cancelled caller must hold no slot")
	})
}

func TestGrantPreemptsABatchItemInTheSameStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &batchRecorder{}
		g := newTestGranter(b, 2)
		defer g.Stop()
		for i := range 2 {
			g.Submit("engine-1", allocator.BatchOffered{ID: fmt.Sprintf("item-%d", i), Due: time.Now().Add(time.Hour)})
		}
		synctest.Wait()
		_, err := g.Reserve(t.Context(), newRequest("a", time.Second))
		require.NoError(t, err)
		assert.Equal(t, []string{"start item-0", "start item-1", "suspend item-1"}, b.calls)
		assert.EqualValues(t, 1, g.Preempted.Load())
	})
}

func TestUndeclaredEndpointIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGranter(&batchRecorder{}, 1)
		defer g.Stop()
		r := newRequest("a", time.Second)
		r.Endpoint = "gone"
		_, err := g.Reserve(t.Context(), r)
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
	})
}

// TestFullEventQueueRefusesAtOnce fills the event queue of a granter whose loop does not run.
func TestFullEventQueueRefusesAtOnce(t *testing.T) {
	g := New(func(string) (allocator.Policy, bool) { return allocator.Policy{}, false })
	for range eventQueueSize {
		g.Submit("engine-1", allocator.Woken{})
	}
	_, err := g.Reserve(context.Background(), newRequest("a", time.Second))
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, allocator.ReasonQueueFull, refused.Reason)
	assert.EqualValues(t, 1, g.EventsDropped.Load())
}
