package peersyncer

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/distributor"
)

// knownWithin is the time within which all VMs of a large deployment know what the store has acknowledged.
const knownWithin = 4 * time.Second

// fewRows is a number of endpoints just above that of a small table.
const fewRows = 520

// runFollow runs a test with a region of 30 VMs that know the endpoints.
func runFollow(t *testing.T, test func(t *testing.T, f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := newVersionedStore()
		for i := range fewRows {
			store.putEndpoint(i, 'r', 0)
		}
		store.putConfig(1)
		f := newTestFleet(store, [2]int{30, 0}, true)
		ctx, cancel := context.WithCancel(t.Context())
		f.start(ctx)
		_, ok := f.until(5*time.Second, func(v *testVM) bool { return v.hasEndpoints(fewRows) })
		require.True(t, ok, "all VMs know the endpoints")
		// The search for sources in the own zone ends.
		time.Sleep(5 * time.Second)
		test(t, f)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// placed returns the readers, the relays and the others.
func (f *testFleet) placed() (readers, relays, others []*testVM) {
	sources := map[string]bool{}
	for _, v := range f.vms {
		p, _ := v.Place()
		for _, s := range p.Sources[:max(0, len(p.Sources)-3)] {
			sources[s] = true
		}
	}
	for _, v := range f.vms {
		p, _ := v.Place()
		switch {
		case p.IsReader:
			readers = append(readers, v)
		case sources[v.name]:
			relays = append(relays, v)
		default:
			others = append(others, v)
		}
	}
	return readers, relays, others
}

// checkLeaving has endpoints leave one after another for a while, and checks that all VMs but those excluded know each in time.
func checkLeaving(t *testing.T, f *testFleet, from int, except ...*testVM) {
	t.Helper()
	worst := time.Duration(0)
	for i := from; i < from+8; i++ {
		f.store.putEndpoint(i, 'd', 1)
		took, ok := f.until(2*knownWithin, func(v *testVM) bool { return !v.isUsable(endpointID(i)) }, except...)
		worst = max(worst, took)
		if !ok {
			f.describe(t)
		}
	}
	t.Logf("known after %s at worst", worst)
	assert.Less(t, worst, knownWithin)
}

// TestFollowersReadNoStore checks the roles: three VMs read the store, the others hear from them, in their zone if there is a
// source.
func TestFollowersReadNoStore(t *testing.T) {
	runFollow(t, func(t *testing.T, f *testFleet) {
		readers, relays, others := f.placed()
		require.Len(t, readers, 3)
		require.Len(t, relays, 3)
		require.Len(t, others, 24)
		checkLeaving(t, f, 0)
		for _, v := range slices.Concat(relays, others) {
			assert.Zero(t, v.table.Counters.StoreCalls.Load(), v.name)
			assert.Zero(t, v.table.Counters.PeerFailures.Load(), v.name)
			assert.Less(t, v.table.Age(time.Now()), distributor.MaxAge)
		}
		zones := map[string]bool{}
		for _, v := range relays {
			zones[v.zone] = true
		}
		for _, v := range others {
			if i := slices.IndexFunc(f.vms, func(o *testVM) bool { return o.name == v.table.Source() }); zones[v.zone] && i >= 0 {
				assert.Equal(t, v.zone, f.vms[i].zone, v.name)
			}
		}
		f.store.remove("endpoints", endpointID(9))
		took, ok := f.until(knownWithin, func(v *testVM) bool { return v.hasEndpoints(fewRows - 1) })
		assert.True(t, ok)
		t.Logf("removal known after %s", took)
	})
}

// TestSourcesThatDie guards against VMs that go on sending to endpoints that leave because those that they hear from have ended.
func TestSourcesThatDie(t *testing.T) {
	for _, name := range []string{"refuse", "frozen"} {
		t.Run(name, func(t *testing.T) {
			runFollow(t, func(t *testing.T, f *testFleet) {
				readers, relays, _ := f.placed()
				dead := slices.Concat(readers[:2], relays[:2])
				for _, v := range dead {
					v.isDown.Store(name == "refuse")
					v.isFrozen.Store(name == "frozen")
					v.isCutOff.Store(true)
				}
				checkLeaving(t, f, 0, dead...)
			})
		})
	}
}

// TestAllSourcesDie checks that VMs go back to the store by changes alone when nobody passes the table on.
func TestAllSourcesDie(t *testing.T) {
	runFollow(t, func(t *testing.T, f *testFleet) {
		readers, relays, others := f.placed()
		dead := slices.Concat(readers, relays)
		for _, v := range dead {
			v.isFrozen.Store(true)
			v.isCutOff.Store(true)
		}
		checkLeaving(t, f, 0, dead...)
		for _, v := range others {
			assert.Less(t, v.table.Counters.StoreRows.Load(), int64(fewRows/2), "no full read")
		}
	})
}

// TestSourceThatHearsNothing guards against a source that answers but has lost its own sources and the store.
func TestSourceThatHearsNothing(t *testing.T) {
	runFollow(t, func(t *testing.T, f *testFleet) {
		readers, relays, _ := f.placed()
		deaf := slices.Concat(readers[:1], relays[:2])
		for _, v := range deaf {
			v.isCutOff.Store(true)
		}
		checkLeaving(t, f, 0, deaf...)
	})
}

// TestSourceThatLags checks that a source whose knowledge grows old is left, and is used again once it is current.
func TestSourceThatLags(t *testing.T) {
	runFollow(t, func(t *testing.T, f *testFleet) {
		readers, _, _ := f.placed()
		for _, v := range readers[:2] {
			v.isCutOff.Store(true)
		}
		time.Sleep(3 * time.Second)
		checkLeaving(t, f, 0, readers[:2]...)
		for _, v := range readers[:2] {
			v.isCutOff.Store(false)
		}
		time.Sleep(10 * time.Second)
		checkLeaving(t, f, 8)
		for _, v := range f.vms {
			assert.Less(t, v.table.Age(time.Now()), distributor.MaxAge, v.name)
		}
	})
}

// TestHistoryThatIsLost checks that the store is read whole by readers alone when it drops its history, and that an endpoint that
// was removed meanwhile is gone everywhere.
func TestHistoryThatIsLost(t *testing.T) {
	runFollow(t, func(t *testing.T, f *testFleet) {
		readers, relays, others := f.placed()
		for _, v := range readers {
			v.isCutOff.Store(true)
		}
		for _, v := range slices.Concat(relays, others) {
			v.isCutOff.Store(true)
		}
		time.Sleep(time.Second)
		f.store.remove("endpoints", endpointID(5))
		f.store.forget()
		for _, v := range f.vms {
			v.isCutOff.Store(false)
		}
		_, ok := f.until(3*knownWithin, func(v *testVM) bool { return v.hasEndpoints(fewRows - 1) })
		if !ok {
			f.describe(t)
		}
		assert.True(t, ok)
		for _, v := range slices.Concat(relays, others) {
			assert.Less(t, v.table.Counters.StoreRows.Load(), int64(fewRows/2), "no full read of the store by %s", v.name)
		}
		checkLeaving(t, f, 10)
	})
}

// TestEndpointsThatExpiredInAnOutageStayWithFollowers guards against followers that drop endpoints which only have to register
// again after an outage, since their source passes the removal on while it keeps the endpoints itself.
func TestEndpointsThatExpiredInAnOutageStayWithFollowers(t *testing.T) {
	runFollow(t, func(t *testing.T, f *testFleet) {
		readers, _, _ := f.placed()
		for _, v := range readers {
			v.isCutOff.Store(true)
		}
		// Short enough that followers don't notice.
		time.Sleep(1400 * time.Millisecond)
		for i := range 20 {
			f.store.remove("endpoints", endpointID(i))
		}
		for _, v := range readers {
			v.isCutOff.Store(false)
		}
		time.Sleep(time.Second)
		for i := range 10 {
			f.store.putEndpoint(i, 'r', 1)
		}
		unaware := 0
		for range 20 {
			for _, v := range f.vms {
				if v.table.Counters.StoreCalls.Load() == 0 {
					unaware++
					assert.True(t, v.isUsable(endpointID(0)), v.name)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Positive(t, unaware, "some followers did not notice the outage")
		_, ok := f.until(knownWithin, func(v *testVM) bool { return v.hasEndpoints(fewRows - 10) })
		assert.True(t, ok, "those that did not register again are gone")
	})
}

// TestSmallTableIsReadFromTheStore checks that a table of one page has no readers, and that a table that shrinks has none any
// more.
func TestSmallTableIsReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newVersionedStore()
		for i := range 100 {
			store.putEndpoint(i, 'r', 0)
		}
		store.putConfig(1)
		f := newTestFleet(store, [2]int{30, 0}, true)
		changes := 0
		for _, v := range f.vms {
			v.table.isLarge.Store(false)
			v.table.onLarge = func(bool) { changes++ }
		}
		ctx, cancel := context.WithCancel(t.Context())
		f.start(ctx)
		time.Sleep(10 * time.Second)
		for _, v := range f.vms {
			assert.True(t, v.hasEndpoints(100))
			assert.Zero(t, v.table.Counters.PeerCalls.Load()+v.table.Counters.PeerFailures.Load())
			v.table.ObserveRows(100)
			// One read of the table and the watches of 2.8 s since.
			assert.LessOrEqual(t, v.table.Counters.StoreCalls.Load(), int64(5))
		}
		assert.Zero(t, changes)
		for _, v := range f.vms {
			v.table.ObserveRows(501)
			v.table.ObserveRows(450)
			assert.True(t, v.table.isLarge.Load())
			v.table.ObserveRows(399)
			assert.False(t, v.table.isLarge.Load())
		}
		assert.Equal(t, 2*len(f.vms), changes)
		cancel()
		time.Sleep(10 * time.Second)
	})
}
