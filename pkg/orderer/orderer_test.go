package orderer

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

// bench is orderers on one platform, with a clock of the test's own.
type bench struct {
	mu      sync.Mutex
	now     time.Time
	store   *emulator.Platform
	fences  []int64
	running map[string]int
	most    int
	result  outcome.Outcome
	gate    chan struct{}
}

func newBench() *bench {
	return &bench{now: epoch, store: emulator.NewPlatform(), running: map[string]int{}, result: outcome.Completed{}}
}

func (b *bench) clock() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

func (b *bench) wait(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = b.now.Add(d)
}

func (b *bench) send(_ context.Context, e declarer.Endpoint, _ Order, fence int64) (outcome.Outcome, error) {
	b.mu.Lock()
	b.fences = append(b.fences, fence)
	b.running[e.Name]++
	all := 0
	for _, n := range b.running {
		all += n
	}
	b.most = max(b.most, all)
	gate, result := b.gate, b.result
	b.mu.Unlock()
	if gate != nil {
		<-gate
	}
	b.mu.Lock()
	b.running[e.Name]--
	b.mu.Unlock()
	if _, ok := result.(outcome.Unknown); ok {
		return result, errors.New("cut")
	}
	return result, nil
}

func (b *bench) orderer(vm string) *Orderer { return New(vm, b.store, b.send, b.clock) }

func TestFenceGrowsWithEachOrder(t *testing.T) {
	b := newBench()
	for i := range 3 {
		fence, _, err := b.orderer([]string{"vm-1", "vm-2", "vm-1"}[i]).Give(ctx, endpoint("e", true), load)
		require.NoError(t, err)
		assert.EqualValues(t, i+1, fence)
	}
}

// TestTwoVMsOrderAtOnce lets one order run while another VM gives the same engine one.
func TestTwoVMsOrderAtOnce(t *testing.T) {
	for _, isFenced := range []bool{true, false} {
		b := newBench()
		b.gate = make(chan struct{})
		done := make(chan error, 1)
		go func() {
			_, _, err := b.orderer("vm-1").Give(ctx, endpoint("e", isFenced), load)
			done <- err
		}()
		require.Eventually(t, func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return len(b.fences) == 1
		}, time.Minute, time.Millisecond)
		_, o, err := b.orderer("vm-2").Give(ctx, endpoint("e", isFenced), load)
		var busy *BusyError
		require.ErrorAs(t, err, &busy)
		assert.Positive(t, busy.RetryAfter)
		assert.IsType(t, outcome.NotRun{}, o)
		close(b.gate)
		require.NoError(t, <-done)
		assert.Len(t, b.fences, 1)
	}
}

// TestHolderGone takes over a lease whose holder never ended it: after the lease's length where the engine checks
// fencing, and only after the longest order too where it does not.
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
		b := newBench()
		b.result = outcome.Unknown{Reason: "cut"}
		_, _, err := b.orderer("vm-1").Give(ctx, endpoint("e", c.isFenced), Order{Kind: SetRole, Name: "prefill"})
		require.Error(t, err)
		b.result = outcome.Completed{}
		second := b.orderer("vm-2")
		_, _, err = second.Give(ctx, endpoint("e", c.isFenced), Order{Kind: SetRole, Name: "prefill"})
		require.Error(t, err, "an uncertain order is not over at once")
		b.wait(c.wait)
		fence, _, err := second.Give(ctx, endpoint("e", c.isFenced), Order{Kind: SetRole, Name: "prefill"})
		assert.Equal(t, c.isTaken, err == nil, "%+v: %v", c, err)
		if c.isTaken {
			assert.EqualValues(t, 2, fence)
		}
	}
}

// TestLoadsShareTheSlots orders loads at many engines at once.
func TestLoadsShareTheSlots(t *testing.T) {
	b := newBench()
	b.gate = make(chan struct{})
	results := make(chan error, 6)
	for i := range 6 {
		go func() {
			_, _, err := b.orderer("vm-1").Give(ctx, endpoint(string(rune('a'+i)), true), load)
			results <- err
		}()
	}
	refused := 0
	for range 6 - LoadSlots {
		var busy *BusyError
		assert.ErrorAs(t, <-results, &busy)
		refused++
	}
	close(b.gate)
	for range LoadSlots {
		assert.NoError(t, <-results)
	}
	assert.LessOrEqual(t, b.most, LoadSlots)
}

// TestLostAnswers loses the answers of the lease's writes.
func TestLostAnswers(t *testing.T) {
	b := newBench()
	b.store.SetFaults(emulator.PlatformFaults{LoseAnswers: 2})
	_, _, err := b.orderer("vm-1").Give(ctx, endpoint("e", true), load)
	require.NoError(t, err)
	_, _, err = b.orderer("vm-2").Give(ctx, endpoint("e", true), load)
	require.NoError(t, err)
	assert.Equal(t, []int64{1, 2}, b.fences)
}

// pausing is a store whose caller is paused while the answer to its write is on the way.
type pausing struct {
	*emulator.Platform
	pause func()
}

// Commit writes and then pauses.
func (p *pausing) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	version, err := p.Platform.Commit(ctx, tx)
	p.pause()
	return version, err
}

func TestHolderPausedBeforeItsOrderSendsNothing(t *testing.T) {
	b := newBench()
	o := New("vm-1", &pausing{Platform: b.store, pause: func() { b.wait(LeaseLength) }}, b.send, b.clock)
	_, _, err := o.Give(ctx, endpoint("e", false), load)
	var stale *StaleError
	require.ErrorAs(t, err, &stale)
	assert.Empty(t, b.fences)
}

func TestStoreDownSendsNothing(t *testing.T) {
	b := newBench()
	b.store.SetFaults(emulator.PlatformFaults{IsDown: true})
	_, o, err := b.orderer("vm-1").Give(ctx, endpoint("e", false), load)
	require.Error(t, err)
	assert.IsType(t, outcome.NotRun{}, o)
	assert.Empty(t, b.fences)
}
