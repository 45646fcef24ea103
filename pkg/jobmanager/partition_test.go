package jobmanager_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
)

// itemsAt returns the items of the job that the VM is to run; none if it doesn't hold it.
func (p *simulation) itemsAt(vm int, job string) []int {
	for _, h := range p.vms[vm].Held() {
		if h.Job.ID == job {
			return h.Items
		}
	}
	return nil
}

// TestPartitionedVMHandsItsJobsOver cuts one or two of three VMs off: jobs that they hold, or are given meanwhile, are soon with
// one that reaches the endpoints, and stay there when the partition ends.
func TestPartitionedVMHandsItsJobsOver(t *testing.T) {
	for job := range 8 {
		for _, other := range []time.Duration{0, 10 * time.Millisecond, 300 * time.Millisecond, time.Hour} {
			synctest.Test(t, func(t *testing.T) {
				p, stop := newSimulation(t, plan{
					Actions: []action{{At: time.Millisecond, VM: 0, Do: "submit", Job: job}},
					Cuts: []cutPeriod{
						{VM: 0, From: time.Second, For: 4 * time.Second}, {VM: 1, From: time.Second + other, For: 4 * time.Second},
					},
					newsDelay: 200 * time.Millisecond,
				}, &history{})
				defer stop()
				time.Sleep(time.Second + other%time.Hour + 2*maxIdle)
				assert.True(t, p.isHeld(jobName(job)), "job %d, other VM cut %s later", job, other)
				assert.Nil(t, p.itemsAt(0, jobName(job)))
				time.Sleep(4 * time.Second)
				assert.Nil(t, p.itemsAt(0, jobName(job)))
				assert.True(t, p.isHeld(jobName(job)))
			})
		}
	}
}

// TestJobAcceptedWhilePartitionedIsHeldInTouch submits jobs at a VM that is cut off: the record names another holder from the
// first on, one that reaches the endpoints.
func TestJobAcceptedWhilePartitionedIsHeldInTouch(t *testing.T) {
	for job := range 8 {
		synctest.Test(t, func(t *testing.T) {
			p, stop := newSimulation(t, plan{
				Actions: []action{{At: 2 * time.Second, VM: 0, Do: "submit", Job: job}},
				Cuts:    []cutPeriod{{VM: 0, From: time.Second, For: time.Hour}, {VM: 1, From: time.Second, For: time.Hour}},
			}, &history{})
			defer stop()
			time.Sleep(2*time.Second + 50*time.Millisecond)
			require.False(t, p.vms[0].IsOver(jobName(job)), "the job isn't accepted")
			assert.False(t, p.vms[0].IsHeld(jobName(job)), "the cut VM held the job %d first", job)
			time.Sleep(maxIdle)
			assert.NotEmpty(t, p.itemsAt(2, jobName(job)))
		})
	}
}

// TestJobsStayIfAllArePartitioned cuts all VMs off: a job isn't passed round, and its holder runs it when its partition ends.
func TestJobsStayIfAllArePartitioned(t *testing.T) {
	for job := range 8 {
		synctest.Test(t, func(t *testing.T) {
			p, stop := newSimulation(t, plan{
				Actions: []action{
					{At: time.Millisecond, VM: 0, Do: "submit", Job: job},
					// No attempt to hand this job over falls on the moment at which the partitions end.
					{At: 2*time.Second + 7*time.Millisecond, VM: 1, Do: "submit", Job: job + 8},
				},
				Cuts: []cutPeriod{
					{VM: 0, From: time.Second, For: 4 * time.Second},
					{VM: 1, From: time.Second, For: 4 * time.Second},
					{VM: 2, From: time.Second, For: time.Hour},
				},
			}, &history{})
			defer stop()
			time.Sleep(4 * time.Second)
			for vm, id := range []string{jobName(job), jobName(job + 8)} {
				assert.True(t, p.vms[vm].IsHeld(id))
				assert.False(t, p.isHeld(id), "a VM that reaches no endpoint runs items")
			}
			time.Sleep(time.Second + 200*time.Millisecond)
			assert.NotEmpty(t, p.itemsAt(0, jobName(job)))
			assert.NotEmpty(t, p.itemsAt(1, jobName(job+8)))
		})
	}
}

// TestSecondPartitionHandsOverToo has a VM hold a job after a first partition, when a second one begins.
func TestSecondPartitionHandsOverToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := newSimulation(t, plan{
			Actions: []action{{At: 3 * time.Second, VM: 0, Do: "submit"}},
			Cuts:    []cutPeriod{{VM: 0, From: time.Second, For: time.Second}, {VM: 0, From: 5 * time.Second, For: time.Hour}},
		}, &history{})
		defer stop()
		time.Sleep(4 * time.Second)
		assert.NotEmpty(t, p.itemsAt(0, jobName(0)))
		time.Sleep(time.Second + maxIdle)
		assert.True(t, p.isHeld(jobName(0)), "the job waits until the partition ends")
	})
}

// TestJobsOfLostVMsGoToVMsInTouch stops the holder while another VM is cut off, for good or until later.
func TestJobsOfLostVMsGoToVMsInTouch(t *testing.T) {
	for job := range 8 {
		synctest.Test(t, func(t *testing.T) {
			p, stop := newSimulation(t, plan{
				Actions: []action{{At: time.Millisecond, VM: 0, Do: "submit", Job: job}},
				Stops:   map[int]time.Duration{0: time.Second},
				Cuts:    []cutPeriod{{VM: 1, From: 500 * time.Millisecond, For: time.Hour}},
			}, &history{})
			defer stop()
			time.Sleep(5 * time.Second)
			assert.NotEmpty(t, p.itemsAt(2, jobName(job)), "job %d", job)
			assert.False(t, p.vms[1].IsHeld(jobName(job)), "the cut VM took job %d over and handed it on", job)
		})
	}
}

// TestLeavingVMHandsOverToVMsInTouch has a VM leave while another is cut off, and while all others are.
func TestLeavingVMHandsOverToVMsInTouch(t *testing.T) {
	for job := range 8 {
		for _, cutVMs := range [][]int{{1}, {2}, {1, 2}} {
			synctest.Test(t, func(t *testing.T) {
				pl := plan{
					Actions: []action{{At: time.Millisecond, VM: 0, Do: "submit", Job: job}},
					Leaves:  map[int]time.Duration{0: time.Second},
				}
				for _, vm := range cutVMs {
					pl.Cuts = append(pl.Cuts, cutPeriod{VM: vm, From: 500 * time.Millisecond, For: time.Hour})
				}
				p, stop := newSimulation(t, pl, &history{})
				defer stop()
				time.Sleep(time.Second + maxIdle)
				var holders []int
				for vm := range vmCount {
					if p.vms[vm].IsHeld(jobName(job)) && vm != 0 {
						holders = append(holders, vm)
					}
				}
				require.Len(t, holders, 1)
				assert.True(t, len(cutVMs) == 2 || !slices.Contains(cutVMs, holders[0]), "job %d went to VM %d", job, holders[0])
			})
		}
	}
}

// TestKeptItemsAreReleased has a VM keep an item at a hand-over, and break it off after the partition ended: the holder runs the
// item from then on, and the VM may hold the job again.
func TestKeptItemsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := newSimulation(t, plan{Actions: []action{{At: time.Millisecond, VM: 0, Do: "submit"}}}, &history{})
		defer stop()
		time.Sleep(time.Second)
		job, m, ctx := jobName(0), p.vms[0], p.contexts[0]
		p.mu.Lock()
		p.plan.Cuts = []cutPeriod{{VM: 0, From: time.Second, For: 2 * time.Second}}
		p.mu.Unlock()
		saved := atomic.Int64{}
		runs := jobmanager.ItemRuns{
			Running: func(string) []int { return []int{1} },
			Save:    func(context.Context, string) { saved.Add(1) },
		}
		m.SetPartitioned(ctx, true, runs)
		time.Sleep(maxIdle)
		assert.EqualValues(t, 1, saved.Load())
		holder, items := -1, []int(nil)
		for vm := range vmCount {
			if at := p.itemsAt(vm, job); at != nil {
				holder, items = vm, at
			}
		}
		require.Positive(t, holder)
		assert.Equal(t, []int{0, 2}, items)
		kept, isHolder := m.KeptItems(job)
		assert.Equal(t, []int{1}, kept)
		assert.False(t, isHolder)
		assert.Equal(t, map[string][]int{job: {1}}, m.KeptJobs())

		m.SetPartitioned(ctx, false, runs)
		require.NoError(t, m.Release(ctx, job, []int{1}))
		assert.Empty(t, m.KeptJobs())
		time.Sleep(maxIdle)
		assert.Equal(t, []int{0, 1, 2}, p.itemsAt(holder, job))
		require.NoError(t, m.Release(ctx, job, []int{1}), "a second release changes nothing")

		other := 3 - holder
		p.mu.Lock()
		p.plan.Cuts = append(p.plan.Cuts,
			cutPeriod{VM: other, From: 3 * time.Second, For: time.Hour}, cutPeriod{VM: holder, From: 3 * time.Second, For: time.Hour})
		p.mu.Unlock()
		time.Sleep(3*time.Second - time.Since(p.start))
		p.vms[holder].SetPartitioned(p.contexts[holder], true, jobmanager.ItemRuns{Running: func(string) []int { return nil }})
		time.Sleep(maxIdle)
		assert.Equal(t, []int{0, 1, 2}, p.itemsAt(0, job))
	})
}
