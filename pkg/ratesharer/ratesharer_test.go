package ratesharer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/ratelimiter"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
)

// fleet delivers the payloads of sharers to one another; those from and to a VM in down are lost.
type fleet struct {
	names   []string
	sharers map[string]*Sharer
	hook    *logtest.Hook
	queue   chan func()
	sent    atomic.Int64

	mu   sync.Mutex
	down map[string]bool
	lost map[string]bool
}

type link struct {
	fleet *fleet
	vm    string
}

func (l link) Membership() gossiper.Membership {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	m := gossiper.Membership{IsMajority: true, Count: len(l.fleet.names)}
	for _, name := range l.fleet.names {
		if l.fleet.lost[name] {
			m.Former = append(m.Former, name)
			continue
		}
		m.Capable = append(m.Capable, name)
		if name != l.vm {
			m.Others = append(m.Others, name)
		}
	}
	return m
}

// Heard grows with the time, as it does by the failure detector's probes, unless the VM is down.
func (l link) Heard() int64 {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if l.fleet.down[l.vm] {
		return 1
	}
	return time.Now().UnixMilli()
}

func (l link) Send(vm string, payload []byte) {
	l.fleet.sent.Add(1)
	l.fleet.mu.Lock()
	isDown := l.fleet.down[vm] || l.fleet.down[l.vm]
	l.fleet.mu.Unlock()
	if !isDown {
		l.fleet.queue <- func() { l.fleet.sharers[vm].Receive(payload) }
	}
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

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{sharers: map[string]*Sharer{}, queue: make(chan func(), 4096), down: map[string]bool{}, lost: map[string]bool{}}
	log, hook := logtest.NewNullLogger()
	f.hook = hook
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("v%d", i))
	}
	for _, name := range f.names {
		f.sharers[name] = New(ratelimiter.Config{
			VM: name, Incarnation: 1, Window: 5 * time.Second, Overage: 0.1, Slack: 20,
		}, link{f, name}, log)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.run(ctx)
	for _, s := range f.sharers {
		s.Start(ctx)
	}
	for _, s := range f.sharers {
		require.Eventually(t, func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.isConnected(s.now())
		}, 5*time.Second, time.Millisecond)
	}
	return f
}

func (f *fleet) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// flood sends requests of the account to all VMs for the time and returns how many were admitted.
func (f *fleet) flood(ctx context.Context, a ratelimiter.Account, perVM int) int64 {
	var admitted atomic.Int64
	var wait sync.WaitGroup
	for _, name := range f.names {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range perVM {
				if _, ok := f.sharers[name].Allow(ctx, a); ok {
					admitted.Add(1)
				}
			}
		}()
	}
	wait.Wait()
	return admitted.Load()
}

// TestNothingIsSentWithoutARate guards against messages in a deployment whose accounts have no rates.
func TestNothingIsSentWithoutARate(t *testing.T) {
	f := newFleet(t, 3)
	for range 10 {
		_, ok := f.sharers["v0"].Allow(t.Context(), ratelimiter.Account{Name: "a"})
		assert.True(t, ok)
	}
	time.Sleep(3 * ratelimiter.TickTime)
	assert.Zero(t, f.sent.Load())
}

// TestFloodStaysBelowTheBound sends many times an account's rate to all VMs at once: the sum of what they admit is bounded, and
// the refused get a time.
func TestFloodStaysBelowTheBound(t *testing.T) {
	f := newFleet(t, 8)
	a := ratelimiter.Account{Name: "a", Rate: 2, Burst: 2}
	start := time.Now()
	admitted := f.flood(t.Context(), a, 40)
	require.Less(t, time.Since(start), 5*time.Second, "the machine is too slow for this test's bound")
	assert.LessOrEqual(t, admitted, int64(33), "(2 x 5 + 2) x 1.1 + 20")
	assert.Positive(t, admitted)
	retryAfter, ok := f.sharers["v0"].Allow(t.Context(), a)
	assert.False(t, ok)
	assert.Positive(t, retryAfter)
}

// TestSecondCoordinatorAnswersForASilentOne cuts the first coordinator off: requests at the others wait for the second one, which
// admits a little until the first is known as lost, and the whole rate afterwards.
func TestSecondCoordinatorAnswersForASilentOne(t *testing.T) {
	f := newFleet(t, 4)
	a := ratelimiter.Account{Name: "a", Rate: 200, Burst: 200}
	ranked := ratelimiter.Rank("a", f.names)
	f.change(func() { f.down[ranked[0]] = true })
	vm := f.sharers[ranked[2]]
	admitted := 0
	for range 10 {
		if _, ok := vm.Allow(t.Context(), a); ok {
			admitted++
		}
	}
	assert.Equal(t, 10, admitted)
	f.change(func() { f.lost[ranked[0]] = true })
	require.Eventually(t, func() bool {
		_, ok := vm.Allow(t.Context(), a)
		return ok && f.sharers[ranked[1]].Counters.Claims.Load() > 0
	}, 5*time.Second, 10*time.Millisecond)
}

// TestVMThatHearsNobodyAdmitsLittle guards against VMs behind a partition that admit what the others admit as well.
func TestVMThatHearsNobodyAdmitsLittle(t *testing.T) {
	f := newFleet(t, 4)
	a := ratelimiter.Account{Name: "a", Rate: 10, Burst: 10}
	vm := f.sharers["v0"]
	f.change(func() { f.down["v0"] = true })
	now := bootTime()
	vm.mu.Lock()
	vm.heard, vm.heardAt, vm.refreshedAt = 1, now.Add(-2*silenceTime), now
	vm.mu.Unlock()
	for range 20 {
		retryAfter, ok := vm.Allow(t.Context(), a)
		assert.False(t, ok)
		assert.Positive(t, retryAfter)
	}
	assert.Equal(t, int64(20), vm.Counters.Alone.Load())
	assert.Zero(t, f.sent.Load())
}

// TestCanceledRequestLeavesNothingBehind cancels a request that waits for a coordinator that is silent.
func TestCanceledRequestLeavesNothingBehind(t *testing.T) {
	f := newFleet(t, 2)
	a := ratelimiter.Account{Name: "a", Rate: 10, Burst: 10}
	ranked := ratelimiter.Rank("a", f.names)
	vm := f.sharers[ranked[1]]
	vm.mu.Lock()
	vm.handle(vm.now(), ratelimiter.MeteringNotified{Account: "a", IsMetered: true})
	vm.mu.Unlock()
	f.change(func() { f.down[ranked[0]] = true })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, ok := vm.Allow(ctx, a)
	assert.False(t, ok)
	vm.mu.Lock()
	defer vm.mu.Unlock()
	assert.Empty(t, vm.waiting)
}

// TestMeteringIsLogged guards against an operator who can't tell from the log that an account is held to its rate, and against
// log lines without limit.
func TestMeteringIsLogged(t *testing.T) {
	f := newFleet(t, 1)
	s := f.sharers["v0"]
	s.mu.Lock()
	for range 10 * logBurst {
		s.logChange(ratelimiter.MeteringChanged{Account: ratelimiter.Account{Name: "a", Rate: 2, Burst: 3}, IsMetered: true})
	}
	s.mu.Unlock()
	lines := f.hook.AllEntries()
	require.NotEmpty(t, lines)
	assert.LessOrEqual(t, len(lines), logBurst+1)
	assert.Equal(t, "a", lines[0].Data["account"])
	assert.InDelta(t, 2, lines[0].Data["rate"], 0)
}

// TestFormerCoordinatorsAreClaimedAt guards against a claim that isn't sent to the lost VM that ranks first.
func TestFormerCoordinatorsAreClaimedAt(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	ranked := ratelimiter.Rank("x", names)
	live := slices.DeleteFunc(slices.Clone(names), func(vm string) bool { return vm == ranked[0] })
	p := peersOf(gossiper.Membership{Capable: live, Former: []string{ranked[0]}, Count: 7}, "x")
	assert.Equal(t, ranked[1:5], p.Coordinators)
	assert.Equal(t, ranked[:1], p.Former)
}

func newTestSharer(f *fleet, vm string) *Sharer {
	log, _ := logtest.NewNullLogger()
	return New(ratelimiter.Config{VM: vm, Incarnation: 1, Window: 5 * time.Second, Overage: 0.1, Slack: 20}, link{f, vm}, log)
}

// TestRequestWaitsForRoomThatIsAboutToCome guards against refusing callers, who may retry only once, for a pause of milliseconds.
func TestRequestWaitsForRoomThatIsAboutToCome(t *testing.T) {
	f := newFleet(t, 1)
	a := ratelimiter.Account{Name: "a", Rate: 20, Burst: 1}
	for i := range 30 {
		retryAfter, ok := f.sharers["v0"].Allow(t.Context(), a)
		assert.True(t, ok, "request %d is told to return after %s", i, retryAfter)
	}
}

// TestStartingVMWaitsForItsPeers guards against refusing the callers of VMs that start together and have not heard one another.
func TestStartingVMWaitsForItsPeers(t *testing.T) {
	f := newFleet(t, 2)
	vm := f.sharers["v0"]
	f.change(func() { f.down["v0"] = true })
	now := bootTime()
	vm.mu.Lock()
	vm.heard, vm.heardAt, vm.refreshedAt = 1, now.Add(-2*silenceTime), now
	vm.mu.Unlock()
	hears := time.AfterFunc(100*time.Millisecond, func() { f.change(func() { f.down["v0"] = false }) })
	defer hears.Stop()
	_, ok := vm.Allow(t.Context(), ratelimiter.Account{Name: "a", Rate: 10, Burst: 10})
	assert.True(t, ok)
}
