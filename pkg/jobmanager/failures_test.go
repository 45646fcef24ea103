package jobmanager_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// holderOf returns the VM that neither leaves nor has stopped and runs the items of the job.
func (p *simulation) holderOf(job string) (vm int, ok bool) {
	for n, m := range p.vms {
		if p.contexts[n].Err() != nil {
			continue
		}
		for _, h := range m.Held() {
			if h.Job.ID == job {
				return n, true
			}
		}
	}
	return 0, false
}

// awaitHolder waits until a VM that neither leaves nor has stopped runs the items of the job; false if none does in time.
func (p *simulation) awaitHolder(job string, timeout time.Duration) bool {
	for start := time.Now(); time.Since(start) < timeout; time.Sleep(time.Millisecond) {
		if p.isHeld(job) {
			return true
		}
	}
	return false
}

// TestFailuresSurviveTheirHolders has an item fail twice at each holder of a job, which is then lost, or leaves at once.
func TestFailuresSurviveTheirHolders(t *testing.T) {
	for _, isLost := range []bool{true, false} {
		for job := range 8 {
			synctest.Test(t, func(t *testing.T) {
				p, stop := newSimulation(t, plan{
					Actions: []action{{At: time.Millisecond, VM: 0, Do: "submit", Job: job}},
				}, &history{})
				defer stop()
				time.Sleep(time.Second)
				want := 0
				for n := range vmCount {
					vm, ok := p.holderOf(jobName(job))
					require.True(t, ok, "nobody runs the job")
					for range 2 {
						want++
						assert.Equal(t, want, p.vms[vm].Fail(p.contexts[vm], jobName(job), 1), "failures that VM %d knows", vm)
						time.Sleep(20 * time.Millisecond)
					}
					if isLost {
						time.Sleep(time.Second)
						p.stopVM(vm)
						time.Sleep(5 * time.Second)
					} else {
						p.leave(p.contexts[vm], vm)
						require.True(t, n == vmCount-1 || p.awaitHolder(jobName(job), maxIdle), "nobody runs the job")
					}
				}
			})
		}
	}
}

// TestFailuresAreNeverCountedTwice has items fail at any VMs, which leave or stop, while the store refuses calls, loses answers
// and executes writes late: no VM may know of more failures than there were.
func TestFailuresAreNeverCountedTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pl := drawPlan(rt)
		pl.Actions = append(pl.Actions, action{At: time.Millisecond, VM: vmCount - 1, Do: "submit"})
		type failure struct {
			at   time.Duration
			vm   int
			item int
		}
		failures := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) failure {
			return failure{
				at: time.Duration(rapid.IntRange(0, int(planned.Milliseconds())).Draw(t, "at")) * time.Millisecond,
				vm: rapid.IntRange(0, vmCount-1).Draw(t, "vm"), item: rapid.IntRange(0, 1).Draw(t, "item"),
			}
		}), 1, 12).Draw(rt, "failures")
		synctest.Test(t, func(t *testing.T) {
			p, stop := newSimulation(t, pl, &history{})
			defer stop()
			var counts [2]atomic.Int64
			for _, f := range failures {
				time.AfterFunc(f.at, func() {
					if p.contexts[f.vm].Err() != nil {
						return
					}
					most := counts[f.item].Add(1)
					assert.LessOrEqual(rt, int64(p.vms[f.vm].Fail(p.contexts[f.vm], jobName(0), f.item)), most, "a failure counted twice")
				})
			}
			time.Sleep(settled)
			last := p.vms[vmCount-1]
			for _, h := range last.Held() {
				for item := range counts {
					assert.LessOrEqual(rt, int64(h.Job.Failures[item]), counts[item].Load(), "a failure counted twice")
				}
			}
			for n, m := range p.vms {
				assert.False(rt, p.contexts[n].Err() == nil && m.IsSavingFailures(jobName(0)), "VM %d still writes failures", n)
			}
		})
	})
}

// TestFailuresAreWrittenTogether has all items of a job fail 20 times within a second.
func TestFailuresAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := newSimulation(t, plan{Actions: []action{{At: time.Millisecond, VM: 0, Do: "submit"}}}, &history{})
		defer stop()
		time.Sleep(time.Second)
		var writes atomic.Int64
		p.store.SetFault(func(r *http.Request) standin.StoreFault {
			if strings.HasSuffix(r.URL.Path, "/rows-tx") {
				writes.Add(1)
			}
			return standin.NoFault
		})
		for range 20 {
			for item := range jobItems {
				p.vms[0].Fail(p.contexts[0], jobName(0), item)
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		assert.LessOrEqual(t, writes.Load(), int64(3))
		assert.False(t, p.vms[0].IsSavingFailures(jobName(0)))
		assert.Equal(t, map[int]int{0: 20, 1: 20, 2: 20}, p.vms[0].Held()[0].Job.Failures)
	})
}
