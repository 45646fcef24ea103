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

	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
)

// worker notes what the keepers start and park.
type worker struct {
	mu   sync.Mutex
	said []string
}

func (w *worker) say(what, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.said = append(w.said, what+" "+id)
}

// StartItem notes the item.
func (w *worker) StartItem(_, id string) { w.say("start", id) }

// ParkItem notes the item.
func (w *worker) ParkItem(_, id string) { w.say("park", id) }

func newTestGranter(w *worker, slots int) *Granter {
	g := New(func(endpoint string) (keeper.Policy, bool) {
		return keeper.Policy{
			Slots: slots, FirstTokenTarget: time.Second, TokenGapTarget: 100 * time.Millisecond, QueueLimit: 8, LatencyHeadroom: 1,
		}, endpoint == "engine-1"
	})
	g.Start(w)
	return g
}

func ask(id string, within time.Duration) Request {
	return Request{
		ID: id, VM: "vm-1", Endpoint: "engine-1", Account: "office", Tokens: 10,
		Deadline: time.Now().Add(within), HoldUntil: time.Now().Add(time.Minute),
	}
}

func TestWaiterGetsTheSlotThatIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGranter(&worker{}, 1)
		defer g.Stop()
		_, err := g.Reserve(t.Context(), ask("a", time.Second))
		require.NoError(t, err)
		got := make(chan error, 1)
		go func() {
			_, err := g.Reserve(t.Context(), ask("b", 5*time.Second))
			got <- err
		}()
		synctest.Wait()
		// In the bubble of synctest this is virtual time and takes none.
		time.Sleep(2 * time.Second)
		g.Tell("engine-1", keeper.Returned{ID: "a", Report: keeper.Report{Took: 2 * time.Second}})
		require.NoError(t, <-got)
	})
}

func TestWaiterIsRefusedWhenItsDeadlinePasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGranter(&worker{}, 1)
		defer g.Stop()
		_, err := g.Reserve(t.Context(), ask("a", time.Second))
		require.NoError(t, err)
		startedAt := time.Now()
		_, err = g.Reserve(t.Context(), ask("b", 3*time.Second))
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		assert.Equal(t, 3*time.Second, time.Since(startedAt), "neither earlier nor later")
		assert.Positive(t, refused.RetryAfter)
	})
}

// TestCallerThatLeavesFreesItsSlot cancels callers before and after their grant.
func TestCallerThatLeavesFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGranter(&worker{}, 1)
		defer g.Stop()
		_, err := g.Reserve(t.Context(), ask("a", time.Second))
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			// In the bubble of synctest this is virtual time and takes none.
			time.Sleep(time.Second)
			cancel()
		}()
		_, err = g.Reserve(ctx, ask("b", 30*time.Second))
		require.ErrorIs(t, err, context.Canceled)
		g.Tell("engine-1", keeper.Returned{ID: "a"})
		_, err = g.Reserve(t.Context(), ask("c", time.Second))
		require.NoError(t, err, "the caller that left holds nothing")
	})
}

func TestBatchYieldsInTheStepOfTheGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &worker{}
		g := newTestGranter(w, 2)
		defer g.Stop()
		for i := range 2 {
			g.Tell("engine-1", keeper.BatchOffered{ID: fmt.Sprintf("item-%d", i), Due: time.Now().Add(time.Hour)})
		}
		synctest.Wait()
		_, err := g.Reserve(t.Context(), ask("a", time.Second))
		require.NoError(t, err)
		assert.Equal(t, []string{"start item-0", "start item-1", "park item-1"}, w.said)
		assert.EqualValues(t, 1, g.Parked.Load())
	})
}

func TestUndeclaredEndpointIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGranter(&worker{}, 1)
		defer g.Stop()
		r := ask("a", time.Second)
		r.Endpoint = "gone"
		_, err := g.Reserve(t.Context(), r)
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
	})
}

// TestFullRingRefusesAtOnce fills the ring of a granter whose loop does not run.
func TestFullRingRefusesAtOnce(t *testing.T) {
	g := New(func(string) (keeper.Policy, bool) { return keeper.Policy{}, false })
	for range ringSlots {
		g.Tell("engine-1", keeper.Woken{})
	}
	_, err := g.Reserve(context.Background(), ask("a", time.Second))
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, keeper.ReasonQueueFull, refused.Reason)
	assert.EqualValues(t, 1, g.RingFull.Load())
}
