package assembler_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// maxIdle is well under the time after which a stopped VM counts as lost, and over a period of the watch feed.
const maxIdle = 1500 * time.Millisecond

// begun returns how many of the items an endpoint has begun to run.
func (f *testFleet) begun(items []jobItem) int {
	n := 0
	for _, i := range items {
		if len(f.runsOf(i.ID)) > 0 {
			n++
		}
	}
	return n
}

// slowDown makes streams last 6 steps.
func (f *testFleet) slowDown(step time.Duration) {
	for _, e := range f.endpoints {
		e.Step = step
	}
}

// TestJobAcceptedByALeavingVMRunsElsewhere submits a job to a VM that is leaving and busy for another 3 s.
func TestJobAcceptedByALeavingVMRunsElsewhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.slowDown(600 * time.Millisecond)
	go f.stream(f.vms[0], "/draft/1", newID("d"))
	time.Sleep(100 * time.Millisecond)
	go func() { _ = f.vms[0].app.Stop(context.Background()) }()
	time.Sleep(500 * time.Millisecond)
	items := newItems(3)
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], newID("job"), items).status)
	at := time.Now()
	require.Eventually(t, func() bool { return f.begun(items) > 0 }, maxWait, 10*time.Millisecond)
	assert.Less(t, time.Since(at), maxIdle, "the items wait until the VM that accepted them is lost")
}

// TestJobInFlightAtAStopRunsElsewhere stops a VM while it writes an accepted job to the store.
func TestJobInFlightAtAStopRunsElsewhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.slowDown(600 * time.Millisecond)
	go f.stream(f.vms[0], "/draft/1", newID("d"))
	time.Sleep(100 * time.Millisecond)
	f.store.SetDelay(300 * time.Millisecond)
	items := newItems(3)
	got := make(chan answer, 1)
	go func() { got <- f.submit(f.vms[0], newID("job"), items) }()
	time.Sleep(100 * time.Millisecond)
	go func() { _ = f.vms[0].app.Stop(context.Background()) }()
	a := <-got
	f.store.SetDelay(0)
	require.Equal(t, http.StatusAccepted, a.status)
	at := time.Now()
	require.Eventually(t, func() bool { return f.begun(items) > 0 }, maxWait, 10*time.Millisecond)
	assert.Less(t, time.Since(at), maxIdle, "the items wait until the VM that accepted them is lost")
}

// TestHandOverIsRetried stops a VM that holds a waiting job and is busy for another 3 s, while the store fails its first write.
func TestHandOverIsRetried(t *testing.T) {
	for name, fault := range map[string]standin.StoreFault{
		"503": standin.Busy, "429": standin.Limited, "reset": standin.Reset, "lost answer": standin.LoseAnswer,
		"executed late": standin.ExecuteLate,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2)
			var isFull atomic.Bool
			isFull.Store(true)
			for _, e := range f.endpoints {
				if e.Service == "app" {
					e.Work = 3600 * time.Millisecond
					continue
				}
				e.SetFault(func(int, *http.Request) standin.EndpointFault {
					if isFull.Load() {
						return standin.Shed
					}
					return standin.NoEndpointFault
				})
			}
			items := newItems(3)
			job := newID("job")
			require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
			time.Sleep(700 * time.Millisecond)
			go f.call(context.Background(), f.vms[0], http.MethodPost, "/book/1", newID("b"), "body", withHeader("X-Deadline-Ms", "5000"))
			time.Sleep(100 * time.Millisecond)
			var writes atomic.Int64
			f.store.SetFault(func(r *http.Request) standin.StoreFault {
				if strings.HasSuffix(r.URL.Path, "/rows-tx") && writes.Add(1) == 1 {
					return fault
				}
				return standin.NoFault
			})
			at := time.Now()
			go func() { _ = f.vms[0].app.Stop(context.Background()) }()
			time.Sleep(50 * time.Millisecond)
			isFull.Store(false)
			require.Eventually(t, func() bool { return f.begun(items) > 0 }, maxWait, 10*time.Millisecond)
			assert.Less(t, time.Since(at), maxIdle, "one failed write leaves the job idle until the VM is lost")
			f.await(f.vms[1], job, len(items))
			for _, i := range items {
				assert.Len(t, f.runsOf(i.ID), 1)
			}
		})
	}
}

// TestItemsOfAStoppingVMRunOnceWhenItsSuccessorStops stops the holder of a job whose items run, then its successor.
func TestItemsOfAStoppingVMRunOnceWhenItsSuccessorStops(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.slowDown(600 * time.Millisecond)
	job := newID("job")
	for !isSuccessor(f.vms[1], job, f.vms[1:]) {
		job = newID("job")
	}
	items := newItems(3)
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	require.Eventually(t, func() bool { return f.begun(items) == len(items) }, maxWait, 10*time.Millisecond)
	go func() { _ = f.vms[0].app.Stop(context.Background()) }()
	time.Sleep(700 * time.Millisecond)
	go func() { _ = f.vms[1].app.Stop(context.Background()) }()
	f.await(f.vms[2], job, len(items))
	for _, i := range items {
		assert.Len(t, f.runsOf(i.ID), 1, "an item ran at its first holder and again at the third")
	}
}

// TestSavedItemsOfAStoppingVMRunOnce stops the holder of a job after it saved checkpoints of the items that it still runs.
func TestSavedItemsOfAStoppingVMRunOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	for _, e := range f.endpoints {
		e.Events, e.Step = 200, 20*time.Millisecond
	}
	job, items := newID("job"), newItems(3)
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	require.Eventually(t, func() bool { return f.begun(items) == len(items) }, maxWait, 10*time.Millisecond)
	time.Sleep(1800 * time.Millisecond)
	go func() { _ = f.vms[0].app.Stop(context.Background()) }()
	f.await(f.vms[1], job, len(items))
	for _, i := range items {
		assert.Len(t, f.runsOf(i.ID), 1, "an item ran at its first holder and again at the second")
	}
}

// isSuccessor reports whether the VM takes over the job if these VMs are live.
func isSuccessor(vm *testVM, job string, live []*testVM) bool {
	var vms []gossiper.VMIncarnation
	for _, v := range live {
		vms = append(vms, gossiper.VMIncarnation{Name: v.name})
	}
	successor, ok := gossiper.Assign(job, vms)
	return ok && successor.Name == vm.name
}
