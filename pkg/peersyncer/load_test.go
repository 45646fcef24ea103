package peersyncer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// load is what a run of the load test measured.
type load struct {
	// startBytes and rewriteBytes went over the link between the regions while all VMs started, and while all rows were rewritten.
	startBytes, rewriteBytes int64
	// serving is how long after the start the last VM knew all endpoints.
	serving time.Duration
	// config and leaving are the longest times until a configuration was in force, and an endpoint known to leave.
	config, leaving time.Duration
	// busiest is the largest number of bytes over one VM's own link in the whole run.
	busiest int64
}

// loadLimit bounds the wait for what the baseline does not reach.
const loadLimit = 15 * time.Second

// runLoad starts all VMs at once, with a configuration 0.64 s later, and rewrites all rows in 1.2 s, with another configuration
// and an endpoint that leaves in the middle.
func runLoad(t *testing.T, perRegion [2]int, endpoints int, hasReaders bool, part int) load {
	t.Helper()
	m := load{}
	synctest.Test(t, func(t *testing.T) {
		store := newVersionedStore()
		for i := range endpoints {
			store.putEndpoint(i, 'r', 0)
		}
		store.putConfig(1)
		f := newTestFleet(store, perRegion, hasReaders)
		f.link.part = part
		ctx, cancel := context.WithCancel(t.Context())
		f.start(ctx)
		start := time.Now()
		time.Sleep(640 * time.Millisecond)
		first := time.Now()
		store.putConfig(2)
		f.until(loadLimit, func(v *testVM) bool { return v.hasEndpoints(endpoints) && v.hasConfig(2) })
		m.serving, m.startBytes = time.Since(start), f.link.bytes.Load()
		m.config = f.worstConfig(2, first)

		time.Sleep(5 * time.Second)
		before := f.link.bytes.Load()
		second, left := time.Time{}, time.Time{}
		for i := range endpoints {
			store.putEndpoint(i, 'r', 1)
			if i == endpoints/2 {
				second, left = time.Now(), time.Now()
				store.putConfig(3)
				store.putEndpoint(0, 'd', 1)
			}
			time.Sleep(1200 * time.Millisecond / time.Duration(endpoints))
		}
		f.until(loadLimit, func(v *testVM) bool { return !v.isUsable(endpointID(0)) && v.hasConfig(3) })
		m.leaving = time.Since(left)
		m.config = max(m.config, f.worstConfig(3, second))
		f.until(loadLimit, func(v *testVM) bool {
			return v.watcher.Current().Endpoints[endpointID(endpoints-1)].StartedAtMs == 1
		})
		m.rewriteBytes = f.link.bytes.Load() - before
		for _, v := range f.vms {
			m.busiest = max(m.busiest, v.wire.bytes.Load())
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
	t.Logf("%v VMs, %d endpoints, readers %t, queue %t: start %.1f MB over the link, all rewritten %.1f MB; serving after %s; "+
		"configuration in force after %s, endpoint known to leave after %s; busiest VM %.1f MB",
		perRegion, endpoints, hasReaders, part == inQueue,
		float64(m.startBytes)/1e6, float64(m.rewriteBytes)/1e6, m.serving, m.config, m.leaving, float64(m.busiest)/1e6)
	return m
}

func (v *testVM) hasConfig(version int64) bool {
	c := v.watcher.Current().Config
	return c != nil && c.Version >= version
}

// worstConfig returns the longest time until the configuration was in force at a VM.
func (f *testFleet) worstConfig(version int64, since time.Time) time.Duration {
	worst := time.Duration(0)
	for _, v := range f.vms {
		v.mu.Lock()
		at, ok := v.configAt[version]
		v.mu.Unlock()
		if !ok {
			return loadLimit
		}
		worst = max(worst, at.Sub(since))
	}
	return worst
}

// TestLargeDeploymentFitsTheLink guards against rows that fill the link between regions, so that configurations and the leaving
// of endpoints are known too late. The same load without readers is the baseline, which breaks the bounds.
func TestLargeDeploymentFitsTheLink(t *testing.T) {
	perRegion := [2]int{150, 150}
	for _, part := range []int{inTurns, inQueue} {
		m := runLoad(t, perRegion, manyEndpoints, true, part)
		assert.Less(t, m.startBytes, int64(12e6))
		assert.Less(t, m.rewriteBytes, int64(12e6))
		assert.Less(t, m.serving, 3*time.Second)
		assert.Less(t, m.config, 2500*time.Millisecond)
		assert.Less(t, m.leaving, 2500*time.Millisecond)
	}
	baseline := runLoad(t, perRegion, manyEndpoints, false, inQueue)
	assert.Greater(t, baseline.startBytes, int64(100e6))
	assert.Greater(t, baseline.rewriteBytes, int64(100e6))
	assert.Greater(t, baseline.config, 4*time.Second)
	assert.Greater(t, baseline.serving, 6*time.Second)
}

// TestBytesOverTheLinkDoNotGrowWithVMs guards against rows that cross the link once for each VM.
func TestBytesOverTheLinkDoNotGrowWithVMs(t *testing.T) {
	few := runLoad(t, [2]int{40, 40}, 1002, true, inTurns)
	many := runLoad(t, [2]int{120, 120}, 1002, true, inTurns)
	// Each VM reads the configuration itself: three versions of 13.5 kB, and calls without an answer.
	const own = 60_000
	assert.Less(t, many.startBytes-few.startBytes, int64(80*own))
	assert.Less(t, many.rewriteBytes-few.rewriteBytes, int64(80*own))
	assert.Less(t, float64(many.busiest), 2*float64(few.busiest))
}
