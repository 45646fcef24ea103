package segmentrunner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/batcher"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
	"github.com/dogwoodledge/dogwoodledge/pkg/forwarder"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// recordingGranter records the ids of the items whose slots were given back.
type recordingGranter struct {
	mu    sync.Mutex
	ended []string
}

func (*recordingGranter) BatchRoom(string) int { return 0 }

func (g *recordingGranter) Submit(_ string, in allocator.Input) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ended, ok := in.(allocator.BatchEnded); ok {
		g.ended = append(g.ended, ended.ID)
	}
}

func (g *recordingGranter) hasEnded(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.ended {
		if e == id {
			return true
		}
	}
	return false
}

type emptyFleet struct{}

func (emptyFleet) AllocatedEndpoints() []declarer.Endpoint { return nil }
func (emptyFleet) IsLeaseWatcher(string) bool              { return false }
func (emptyFleet) BatchPolicy() declarer.BatchPolicy {
	return declarer.BatchPolicy{ItemAttempts: 1, ItemDeadline: time.Minute}
}
func (emptyFleet) BatchRetryBudget() float64 { return 0 }

// hangingStore gives no answer to a write before its context ends; it counts the objects being written.
type hangingStore struct {
	*emulator.Platform
	writing *atomic.Int64
}

func newHangingStore() hangingStore {
	return hangingStore{Platform: emulator.NewPlatform(), writing: &atomic.Int64{}}
}

func (s hangingStore) PutObject(ctx context.Context, _ string, _ []byte) error {
	s.writing.Add(1)
	<-ctx.Done()
	return ctx.Err()
}

func (hangingStore) Commit(ctx context.Context, _ storer.Transaction) (int64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func newTestRunner(s storer.Store) (*Runner, *recordingGranter) {
	log, _ := logtest.NewNullLogger()
	g := &recordingGranter{}
	cfg := Config{VM: "v", LeaseLength: time.Minute, LeaseRenew: time.Minute, PollEvery: time.Minute}
	return New(cfg, archiver.New(s, 500), g, emptyFleet{}, forwarder.NewPools(), rand.New(rand.NewPCG(1, 1)), log), g
}

// newTestSegment makes the runner hold a segment of one item.
func newTestSegment(r *Runner, number int) *heldSegment {
	seg := &heldSegment{
		number: number, job: archiver.JobRow{ID: "job"}, tracker: batcher.NewSegment(1, 1, nil),
		lines: []archiver.Line{{CustomID: strconv.Itoa(number), Body: []byte("{}")}},
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[seg.key()] = seg
	return seg
}

func newTestItem(r *Runner, seg *heldSegment, address netip.AddrPort) *item {
	index, _ := seg.tracker.Next()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newItem(seg, index, declarer.Endpoint{Meta: declarer.Meta{Name: "e"}, Address: address}, false)
}

// newHangingEngine returns the address of an engine that answers no request, and a channel that receives one value a request.
func newHangingEngine(t *testing.T) (netip.AddrPort, <-chan string) {
	t.Helper()
	requests := make(chan string, 100)
	release := make(chan struct{})
	engine := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requests <- r.Method
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(engine.Close)
	t.Cleanup(func() { close(release) })
	return netip.MustParseAddrPort(engine.Listener.Addr().String()), requests
}

// runStop runs Stop and returns a channel that is closed when it returns.
func runStop(ctx context.Context, r *Runner) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		r.Stop(ctx)
		close(stopped)
	}()
	return stopped
}

func requireClosed(t *testing.T, c <-chan struct{}, within time.Duration, text string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(within):
		require.Fail(t, text)
	}
}

func (r *Runner) hasBegunStop() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isStopping
}

// TestStoppingRunnerStartsNoItem starts an item, as the slot allocator may, while Stop waits for another one.
func TestStoppingRunnerStartsNoItem(t *testing.T) {
	t.Parallel()
	address, requests := newHangingEngine(t)
	r, g := newTestRunner(emulator.NewPlatform())
	r.Start()
	offered := newTestItem(r, newTestSegment(r, 0), address)
	r.running.Add(1)
	stopped := runStop(context.Background(), r)
	require.Eventually(t, r.hasBegunStop, time.Second, time.Millisecond)
	r.StartItem("e", offered.id)
	assert.Never(t, func() bool { return len(requests) > 0 }, 100*time.Millisecond, 10*time.Millisecond,
		"an item was started during the stop")
	assert.True(t, g.hasEnded(offered.id), "the slot was not given back")
	r.running.Done()
	requireClosed(t, stopped, 2*time.Second, "Stop waits for an item that was started after it")
}

// TestStartOfRemovedItemGivesSlotBack starts an item that was removed before the allocator received its offer.
func TestStartOfRemovedItemGivesSlotBack(t *testing.T) {
	t.Parallel()
	r, g := newTestRunner(emulator.NewPlatform())
	r.StartItem("e", "removed")
	assert.True(t, g.hasEnded("removed"))
}

// TestStopGivesSlotsBackBeforeTheReleases stops a runner with a running item while the store gives no answer; callers' requests
// may wait for the item's slot.
func TestStopGivesSlotsBackBeforeTheReleases(t *testing.T) {
	t.Parallel()
	address, requests := newHangingEngine(t)
	r, g := newTestRunner(newHangingStore())
	r.Start()
	it := newTestItem(r, newTestSegment(r, 0), address)
	r.StartItem("e", it.id)
	require.Equal(t, http.MethodPost, <-requests)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := runStop(ctx, r)
	assert.Eventually(t, func() bool { return g.hasEnded(it.id) }, callTimeout/2, 10*time.Millisecond)
	cancel()
	requireClosed(t, stopped, 2*time.Second, "Stop returns after the end of its context")
}

// TestStopRespectsItsContext stops a runner with an item that does not end.
func TestStopRespectsItsContext(t *testing.T) {
	t.Parallel()
	r, _ := newTestRunner(emulator.NewPlatform())
	r.Start()
	r.running.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	requireClosed(t, runStop(ctx, r), 2*time.Second, "Stop returns after the end of its context")
	r.running.Done()
}

// TestStopReleasesSegmentsAtOnce stops a runner with several segments while the store gives no answer.
func TestStopReleasesSegmentsAtOnce(t *testing.T) {
	t.Parallel()
	store := newHangingStore()
	r, _ := newTestRunner(store)
	r.Start()
	for n := range maxHeldSegments {
		newTestSegment(r, n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := runStop(ctx, r)
	assert.Eventually(t, func() bool { return store.writing.Load() == maxHeldSegments }, 2*time.Second, time.Millisecond,
		"the releases wait for each other")
	cancel()
	requireClosed(t, stopped, 2*time.Second, "Stop returns after the end of its context")
}
