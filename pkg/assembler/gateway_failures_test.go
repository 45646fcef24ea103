package assembler_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// failAllowed makes every run of an item fail, after the delay, and endpoints refuse it once it has run as often as allowed.
func (f *testFleet) failAllowed(item string, delay time.Duration) (allowed *atomic.Int64) {
	allowed = &atomic.Int64{}
	var runs atomic.Int64
	for _, e := range f.endpoints {
		e.SetFault(func(_ int, r *http.Request) standin.EndpointFault {
			if r.Header.Get("X-Request-Id") != item {
				return standin.NoEndpointFault
			}
			if runs.Add(1) > allowed.Load() {
				runs.Add(-1)
				return standin.Shed
			}
			time.Sleep(delay)
			return standin.Fail
		})
	}
	return allowed
}

// requireAbandoned checks that the item is abandoned after this number of runs.
func (f *testFleet) requireAbandoned(vm *testVM, job, item string, runs int) {
	f.t.Helper()
	results := f.await(vm, job, 1).Results
	assert.Equal(f.t, item, results[0].ID)
	assert.Equal(f.t, "abandoned", results[0].State)
	assert.Equal(f.t, runs, len(f.runsOf(item)), "the runs before the item was abandoned")
}

// TestFailuresAreCountedAcrossHolders stops each holder of a job, as planned, after the only item failed there once.
func TestFailuresAreCountedAcrossHolders(t *testing.T) {
	t.Parallel()
	const attempts = 4
	f := newFleet(t, attempts)
	f.batchRoute()["maxAttempts"] = attempts
	f.awaitConfig()
	job, items := newID("job"), newItems(1)
	allowed := f.failAllowed(items[0].ID, 0)
	holder, live := f.vms[0], f.vms[1:]
	require.Equal(t, http.StatusAccepted, f.submit(holder, job, items).status)
	for n := range attempts - 1 {
		allowed.Add(1)
		require.Eventually(t, func() bool { return len(f.runsOf(items[0].ID)) > n }, maxWait, 10*time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		go func(vm *testVM) { _ = vm.app.Stop(context.Background()) }(holder)
		time.Sleep(50 * time.Millisecond)
		holder, live = splitSuccessor(job, live)
	}
	allowed.Add(100)
	f.requireAbandoned(holder, job, items[0].ID, attempts)
}

// TestFailureAfterTheHandOverCounts stops the holder of a job while its only item runs, which fails 400 ms later.
func TestFailureAfterTheHandOverCounts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	job, items := newID("job"), newItems(1)
	allowed := f.failAllowed(items[0].ID, 400*time.Millisecond)
	allowed.Add(100)
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	require.Eventually(t, func() bool { return len(f.runsOf(items[0].ID)) == 1 }, maxWait, 5*time.Millisecond)
	// The first run has failed. The second one begins after the runner's pause of 200 ms, and lasts 400 ms.
	time.Sleep(400 * time.Millisecond)
	go func() { _ = f.vms[0].app.Stop(context.Background()) }()
	f.requireAbandoned(f.vms[1], job, items[0].ID, 3)
}

// TestFailuresOfALostHolderCount stores a job of a lost VM with two failures of its first item.
func TestFailuresOfALostHolderCount(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	job, items := newID("job"), newItems(2)
	f.failAllowed(items[0].ID, 0).Add(100)
	f.storeJob(job, items, map[string]any{"failures": map[string]int{"0": 2}})
	f.await(f.vms[0], job, 2)
	assert.Equal(t, 1, len(f.runsOf(items[0].ID)), "the runs until the third failure")
	assert.Len(t, f.runsOf(items[1].ID), 1)
}

// splitSuccessor returns the VM that takes over the job if these VMs are live, and the others.
func splitSuccessor(job string, live []*testVM) (successor *testVM, others []*testVM) {
	for _, vm := range live {
		if isSuccessor(vm, job, live) {
			successor = vm
			continue
		}
		others = append(others, vm)
	}
	return successor, others
}
