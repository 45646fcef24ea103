package enginecontroller

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

var (
	ctx   = context.Background()
	load  = Order{Kind: LoadModel, Name: "card-writer"}
	epoch = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
)

func endpoint(name string, isFenced bool) declarer.Endpoint {
	return declarer.Endpoint{Meta: declarer.Meta{Name: name}, ChecksFencing: isFenced}
}

// fixture is a set of controllers on one platform, with a clock that the test advances.
type fixture struct {
	mu         sync.Mutex
	now        time.Time
	store      *emulator.Platform
	fences     []int64
	running    map[string]int
	maxRunning int
	result     outcome.Outcome
	gate       chan struct{}
}

func newFixture() *fixture {
	return &fixture{now: epoch, store: emulator.NewPlatform(), running: map[string]int{}, result: outcome.Completed{}}
}

func (f *fixture) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fixture) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

func (f *fixture) send(_ context.Context, e declarer.Endpoint, _ Order, fence int64) (outcome.Outcome, error) {
	f.mu.Lock()
	f.fences = append(f.fences, fence)
	f.running[e.Name]++
	all := 0
	for _, n := range f.running {
		all += n
	}
	f.maxRunning = max(f.maxRunning, all)
	gate, result := f.gate, f.result
	f.mu.Unlock()
	if gate != nil {
		<-gate
	}
	f.mu.Lock()
	f.running[e.Name]--
	f.mu.Unlock()
	if _, ok := result.(outcome.Unknown); ok {
		return result, errors.New("cut")
	}
	return result, nil
}

func (f *fixture) controller(vm string) *Controller { return New(vm, f.store, f.send, f.clock) }

func TestFencingTokenGrowsWithEachOrder(t *testing.T) {
	f := newFixture()
	for i := range 3 {
		fence, _, err := f.controller([]string{"vm-1", "vm-2", "vm-1"}[i]).Execute(ctx, endpoint("e", true), load)
		require.NoError(t, err)
		assert.EqualValues(t, i+1, fence)
	}
}

// TestTwoVMsOrderAtOnce orders the same engine from a second VM while an order of the first VM runs.
func TestTwoVMsOrderAtOnce(t *testing.T) {
	for _, isFenced := range []bool{true, false} {
		f := newFixture()
		f.gate = make(chan struct{})
		done := make(chan error, 1)
		go func() {
			_, _, err := f.controller("vm-1").Execute(ctx, endpoint("e", isFenced), load)
			done <- err
		}()
		require.Eventually(t, func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.fences) == 1
		}, time.Minute, time.Millisecond)
		_, o, err := f.controller("vm-2").Execute(ctx, endpoint("e", isFenced), load)
		var busy *BusyError
		require.ErrorAs(t, err, &busy)
		assert.Positive(t, busy.RetryAfter)
		assert.IsType(t, outcome.NotRun{}, o)
		close(f.gate)
		require.NoError(t, <-done)
		assert.Len(t, f.fences, 1)
	}
}

// TestHolderGone takes over a lease that its holder never released: after the lease's length if the engine checks fencing,
// and only after the longest order in addition if it does not.
func TestHolderGone(t *testing.T) {
	for _, c := range []struct {
		isFenced bool
		wait     time.Duration
		isTaken  bool
	}{
		{true, LeaseLength - time.Second, false},
		{true, LeaseLength, true},
		{false, LeaseLength, false},
		{false, LeaseLength + LongestOrder, true},
	} {
		f := newFixture()
		f.result = outcome.Unknown{Reason: "cut"}
		_, _, err := f.controller("vm-1").Execute(ctx, endpoint("e", c.isFenced), Order{Kind: SetRole, Name: "prefill"})
		require.Error(t, err)
		f.result = outcome.Completed{}
		second := f.controller("vm-2")
		_, _, err = second.Execute(ctx, endpoint("e", c.isFenced), Order{Kind: SetRole, Name: "prefill"})
		require.Error(t, err, "the lease of an order with an unknown outcome must not be free at once")
		f.advance(c.wait)
		fence, _, err := second.Execute(ctx, endpoint("e", c.isFenced), Order{Kind: SetRole, Name: "prefill"})
		assert.Equal(t, c.isTaken, err == nil, "%+v: %v", c, err)
		if c.isTaken {
			assert.EqualValues(t, 2, fence)
		}
	}
}

// TestLoadsShareTheSlots orders loads at more engines at the same time than there are load slots.
func TestLoadsShareTheSlots(t *testing.T) {
	f := newFixture()
	f.gate = make(chan struct{})
	results := make(chan error, 6)
	for i := range 6 {
		go func() {
			_, _, err := f.controller("vm-1").Execute(ctx, endpoint(string(rune('a'+i)), true), load)
			results <- err
		}()
	}
	refused := 0
	for range 6 - LoadSlots {
		var busy *BusyError
		assert.ErrorAs(t, <-results, &busy)
		refused++
	}
	close(f.gate)
	for range LoadSlots {
		assert.NoError(t, <-results)
	}
	assert.LessOrEqual(t, f.maxRunning, LoadSlots)
}

// TestLostAnswers loses the store's answers to writes of the lease that were carried out.
func TestLostAnswers(t *testing.T) {
	f := newFixture()
	f.store.SetFaults(emulator.PlatformFaults{LoseAnswers: 2})
	_, _, err := f.controller("vm-1").Execute(ctx, endpoint("e", true), load)
	require.NoError(t, err)
	_, _, err = f.controller("vm-2").Execute(ctx, endpoint("e", true), load)
	require.NoError(t, err)
	assert.Equal(t, []int64{1, 2}, f.fences)
}

// pausingStore pauses the caller after each write, while the answer is in transit.
type pausingStore struct {
	*emulator.Platform
	pause func()
}

// Commit commits the transaction and then pauses.
func (p *pausingStore) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	version, err := p.Platform.Commit(ctx, tx)
	p.pause()
	return version, err
}

func TestHolderPausedBeforeItsOrderSendsNothing(t *testing.T) {
	f := newFixture()
	c := New("vm-1", &pausingStore{Platform: f.store, pause: func() { f.advance(LeaseLength) }}, f.send, f.clock)
	_, _, err := c.Execute(ctx, endpoint("e", false), load)
	var stale *StaleError
	require.ErrorAs(t, err, &stale)
	assert.Empty(t, f.fences)
}

func TestStoreDownSendsNothing(t *testing.T) {
	f := newFixture()
	f.store.SetFaults(emulator.PlatformFaults{IsDown: true})
	_, o, err := f.controller("vm-1").Execute(ctx, endpoint("e", false), load)
	require.Error(t, err)
	assert.IsType(t, outcome.NotRun{}, o)
	assert.Empty(t, f.fences)
}

// failingRelease is a store that refuses all transactions after the first.
type failingRelease struct {
	storer.Store
	commits int
}

func (s *failingRelease) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	if s.commits++; s.commits > 1 {
		return 0, errors.New("refused")
	}
	return s.Store.Commit(ctx, tx)
}

// TestReleaseThatWasNotWrittenIsAnError guards against a lease that counts as released since its row still has the holder's name
// from when it was acquired.
func TestReleaseThatWasNotWrittenIsAnError(t *testing.T) {
	f := newFixture()
	_, _, err := New("vm-1", &failingRelease{Store: f.store}, f.send, f.clock).Execute(ctx, endpoint("e", true), load)
	assert.ErrorContains(t, err, "its lease must lapse")
}
