package balancer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/assigner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// fleet delivers the payloads of balancers to one another; those to a VM in down are lost.
type fleet struct {
	balancers map[string]*Balancer
	queue     chan func()

	mu     sync.Mutex
	ranked []string
	down   map[string]bool
}

// fail takes the VMs down and makes the others the ones that may assign groups.
func (f *fleet) fail(ranked []string, down ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ranked = ranked
	for _, vm := range down {
		f.down[vm] = true
	}
}

type link struct{ fleet *fleet }

func (l link) Rank(string, string) []string {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.fleet.ranked
}

func (l link) Send(vm string, payload []byte) {
	l.fleet.mu.Lock()
	isDown := l.fleet.down[vm]
	l.fleet.mu.Unlock()
	if isDown {
		return
	}
	l.fleet.queue <- func() { l.fleet.balancers[vm].Receive(payload) }
}

func (f *fleet) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case deliver := <-f.queue:
			deliver()
		}
	}
}

func testRegistry(n int) *registrar.Registry {
	endpoints := map[string]registrar.Endpoint{}
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		endpoints[id] = registrar.Endpoint{ID: id, Service: "llm", AvailabilityZone: "syd-a", Slots: 8}
	}
	return registrar.NewRegistry(&registrar.Config{}, endpoints)
}

// newTestFleet starts VMs named v0, v1 and so on, of which the first assigns all groups.
func newTestFleet(t *testing.T, n, endpoints int, down ...string) (*fleet, *registrar.Registry) {
	t.Helper()
	f := &fleet{balancers: map[string]*Balancer{}, queue: make(chan func(), 4096), down: map[string]bool{}}
	for _, vm := range down {
		f.down[vm] = true
	}
	log, _ := logtest.NewNullLogger()
	reg := testRegistry(endpoints)
	for i := range n {
		name := fmt.Sprintf("v%d", i)
		f.ranked = append(f.ranked, name)
		f.balancers[name] = New(Config{VM: name, Incarnation: 1, Topology: placer.Topology{
			AvailabilityZone: "syd-a", Regions: map[string]string{"syd-a": "syd"},
		}}, link{f}, rand.New(rand.NewPCG(uint64(i), 1)), log)
		f.balancers[name].Configure(reg)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.run(ctx)
	for _, b := range f.balancers {
		b.Start(ctx)
	}
	return f, reg
}

func testRequest(reg *registrar.Registry) placer.Request {
	return placer.Request{
		Route:      registrar.Route{Name: "r", Objective: 300 * time.Millisecond},
		Candidates: reg.EndpointsOf("llm"), Left: 5 * time.Second, Tried: map[string]bool{},
	}
}

func accountRequest(reg *registrar.Registry) placer.Request {
	r := testRequest(reg)
	r.Account = "a"
	return r
}

// TestSpikeOverAllVMsFillsEverySlotOnce covers a traffic spike of which each of 40 VMs sees two requests: together they fill the
// 80 slots of 10 endpoints, and no endpoint gets more requests than it has slots.
func TestSpikeOverAllVMsFillsEverySlotOnce(t *testing.T) {
	f, reg := newTestFleet(t, 40, 10)
	got := make(chan string, 80)
	for _, b := range f.balancers {
		b.nearTimeout = time.Minute
		for range 2 {
			go func() {
				d, _ := b.Place(t.Context(), testRequest(reg))
				s, ok := d.(placer.Send)
				if !ok {
					got <- "refused"
					return
				}
				got <- s.Endpoint.ID
			}()
		}
	}
	counts := map[string]int{}
	for range 80 {
		counts[<-got]++
	}
	assert.Len(t, counts, 10)
	for id, n := range counts {
		assert.Equal(t, 8, n, id)
	}
}

// TestSlotsOfEndedRequestsAreFree ends the requests that filled all slots: the assigner learns of it, and new ones are placed
// without preemption or wait.
func TestSlotsOfEndedRequestsAreFree(t *testing.T) {
	f, reg := newTestFleet(t, 2, 1)
	b := f.balancers["v1"]
	var tickets []*placer.Ticket
	for range 8 {
		d, ticket := b.Place(t.Context(), testRequest(reg))
		require.IsType(t, placer.Send{}, d)
		tickets = append(tickets, ticket)
	}
	for _, ticket := range tickets {
		b.End(ticket, placer.EndedComplete)
	}
	require.Eventually(t, func() bool {
		d, ticket := b.Place(t.Context(), testRequest(reg))
		defer b.End(ticket, placer.EndedLocally)
		s, ok := d.(placer.Send)
		return ok && s.Load.Online < 4
	}, 5*time.Second, time.Millisecond)
}

// TestDeadAssignerIsReplaced cuts the assigner off: requests are placed all the same, and after two of them the next VM in the
// ranking assigns the group.
func TestDeadAssignerIsReplaced(t *testing.T) {
	f, reg := newTestFleet(t, 3, 4, "v0")
	b := f.balancers["v2"]
	for range silencesToAvoid {
		d, _ := b.Place(t.Context(), testRequest(reg))
		require.IsType(t, placer.Send{}, d)
	}
	assert.Equal(t, int64(silencesToAvoid), b.Counters.Alone.Load())
	require.Eventually(t, func() bool {
		before := b.Counters.Alone.Load()
		_, ticket := b.Place(t.Context(), testRequest(reg))
		b.End(ticket, placer.EndedLocally)
		return b.Counters.Alone.Load() == before
	}, 5*time.Second, time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range b.byGroup {
		assert.Equal(t, "v1", g.target)
	}
}

// TestBatchTakesOfferedSlotsAndYieldsThem runs batch items of one VM in all slots; online requests of another VM get slots back
// by preemption.
func TestBatchTakesOfferedSlotsAndYieldsThem(t *testing.T) {
	f, reg := newTestFleet(t, 3, 1)
	worker, desk := f.balancers["v1"], f.balancers["v2"]
	worker.SetWaiting(map[string][]time.Time{"llm": make([]time.Time, 20)})
	var running []*placer.Ticket
	require.Eventually(t, func() bool {
		for {
			_, ticket, ok := worker.TakeOffer("llm")
			if !ok {
				return len(running) == 8
			}
			running = append(running, ticket)
		}
	}, 5*time.Second, time.Millisecond)
	worker.SetWaiting(nil)
	d, _ := desk.Place(t.Context(), testRequest(reg))
	require.IsType(t, placer.Send{}, d)
	assert.True(t, d.(placer.Send).NeedsPreemption)
	e := reg.Endpoints["e0"]
	require.Eventually(t, func() bool { return worker.ExcessBatch(e) == 1 }, 5*time.Second, time.Millisecond)
	worker.End(running[0], placer.EndedLocally)
	assert.Zero(t, worker.ExcessBatch(e))
}

// TestUnusedOfferIsReleased leaves an offer unused: the slot counts as free again after the offer time.
func TestUnusedOfferIsReleased(t *testing.T) {
	f, _ := newTestFleet(t, 2, 1)
	b := f.balancers["v1"]
	b.SetWaiting(map[string][]time.Time{"llm": make([]time.Time, 1)})
	hasOffer := func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.offers["llm"]) > 0
	}
	require.Eventually(t, hasOffer, 5*time.Second, time.Millisecond)
	b.SetWaiting(nil)
	require.Eventually(t, func() bool { return !hasOffer() && len(b.ownCounts()) == 0 }, 5*time.Second, time.Millisecond)
}

// TestOrdersOfAFormerAssignerAreIgnored gives orders of a VM that no longer assigns the group, and one order twice: around a
// hand-over, no item starts or stops twice.
func TestOrdersOfAFormerAssignerAreIgnored(t *testing.T) {
	f, reg := newTestFleet(t, 3, 1)
	b, e := f.balancers["v2"], reg.Endpoints["e0"]
	b.SetWaiting(map[string][]time.Time{"llm": make([]time.Time, 4)})
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	g := b.byEndpoint[placer.KeyOf(e.ID)]
	g.target, g.acknowledged = "v0", 5
	b.receive(now, g, "v1", assigner.BatchOffered{VM: "v2", Order: 9, Endpoint: e})
	assert.Empty(t, b.offers["llm"])
	for range 2 {
		b.receive(now, g, "v0", assigner.BatchOffered{VM: "v2", Order: 6, Endpoint: e})
	}
	assert.Len(t, b.offers["llm"], 1)
	b.receive(now, g, "v1", assigner.PreemptionOrdered{VM: "v2", Order: 9, Key: placer.KeyOf(e.ID), Items: 1})
	assert.Len(t, b.offers["llm"], 1)
	b.receive(now, g, "v0", assigner.PreemptionOrdered{VM: "v2", Order: 7, Key: placer.KeyOf(e.ID), Items: 1})
	assert.Empty(t, b.offers["llm"])
	assert.Equal(t, int64(3), b.Counters.Ignored.Load())
}

// TestItemsWaitForAGroupThatAppearsLater sets waiting items before any endpoint is known: once the endpoints are, the items get
// offers, although their number does not change again.
func TestItemsWaitForAGroupThatAppearsLater(t *testing.T) {
	f, reg := newTestFleet(t, 2, 1)
	b := f.balancers["v1"]
	b.Configure(registrar.NewRegistry(&registrar.Config{}, nil))
	b.SetWaiting(map[string][]time.Time{"llm": make([]time.Time, 1)})
	// The reporter has handled the change.
	time.Sleep(10 * minReportGap)
	b.Configure(reg)
	require.Eventually(t, func() bool {
		_, _, ok := b.TakeOffer("llm")
		return ok
	}, 5*time.Second, time.Millisecond)
}

// TestPlaceWhileEndpointsAreConfigured places requests while updates of the registry define the same groups again. Under the race
// detector it fails if a request reads a group that is being defined.
func TestPlaceWhileEndpointsAreConfigured(t *testing.T) {
	const requests = 200
	f, reg := newTestFleet(t, 1, 10)
	b := f.balancers["v0"]
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			b.Configure(testRegistry(10))
		}
	}()
	for range requests {
		d, ticket := b.Place(t.Context(), testRequest(reg))
		require.IsType(t, placer.Send{}, d)
		b.End(ticket, placer.EndedLocally)
	}
	cancel()
	<-done
}

func (b *Balancer) ownCounts() map[placer.Key]placer.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.placer.Own()
}

// TestRetryIsKeptUntilASlotIsFree guards against a caller that is refused twice although slots become free while it could wait.
func TestRetryIsKeptUntilASlotIsFree(t *testing.T) {
	f, reg := newTestFleet(t, 1, 1)
	b, tickets := f.balancers["v0"], []*placer.Ticket{}
	for range 14 {
		_, ticket := b.Place(t.Context(), accountRequest(reg))
		if ticket != nil {
			tickets = append(tickets, ticket)
		}
	}
	retry := accountRequest(reg)
	retry.Left = 4 * time.Second
	time.AfterFunc(3*placer.HoldInterval/2, func() {
		for _, ticket := range tickets {
			b.End(ticket, placer.EndedComplete)
		}
	})
	d, ticket := b.Place(t.Context(), retry)
	assert.IsType(t, placer.Send{}, d)
	assert.NotNil(t, ticket)
	assert.Positive(t, b.Counters.Held.Load())
}
