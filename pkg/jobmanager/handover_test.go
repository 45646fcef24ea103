package jobmanager_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// maxIdle is the time within which a job of a leaving VM must be held by another: two periods of the watch feed.
const maxIdle = 1200 * time.Millisecond

// TestJobHandedToALeavingVMIsHandedOn has a VM hand a job over to each of its peers, which began to leave 10 ms before.
func TestJobHandedToALeavingVMIsHandedOn(t *testing.T) {
	for job := range 8 {
		for _, peer := range []int{1, 2} {
			synctest.Test(t, func(t *testing.T) {
				p, stop := newSimulation(t, plan{
					Actions:   []action{{At: time.Millisecond, VM: 0, Do: "submit", Job: job}},
					Leaves:    map[int]time.Duration{peer: 990 * time.Millisecond, 0: time.Second},
					newsDelay: 20 * time.Millisecond,
				}, &history{})
				defer stop()
				time.Sleep(time.Second + maxIdle)
				assert.True(t, p.isHeld(jobName(job)), "job %d waits until VM %d is lost", job, peer)
			})
		}
	}
}

// TestJobTakenOverAtAStopIsHandedOn stops a VM while it writes that it takes over a job of a lost VM.
func TestJobTakenOverAtAStopIsHandedOn(t *testing.T) {
	for job := range 8 {
		synctest.Test(t, func(t *testing.T) {
			p, stop := newSimulation(t, plan{
				Actions: []action{{At: time.Millisecond, VM: 0, Do: "submit", Job: job}},
				Stops:   map[int]time.Duration{0: time.Second},
			}, &history{})
			defer stop()
			time.Sleep(time.Second)
			p.store.SetDelay(100 * time.Millisecond)
			taker := make(chan int, 1)
			p.store.SetFault(func(r *http.Request) standin.StoreFault {
				for n := range vmCount {
					if strings.HasSuffix(r.URL.Path, "/rows-tx") && strings.HasSuffix(r.Header.Get("User-Agent"), "/"+vmName(n)) {
						select {
						case taker <- n:
						default:
						}
					}
				}
				return standin.NoFault
			})
			vm := <-taker
			time.Sleep(50 * time.Millisecond)
			p.leave(p.contexts[vm], vm)
			time.Sleep(maxIdle)
			assert.True(t, p.isHeld(jobName(job)), "job %d waits until VM %d is lost", job, vm)
		})
	}
}

// TestJobSubmittedAtAStopIsHandedOver submits a job around the start of a planned stop, while the store is slow.
func TestJobSubmittedAtAStopIsHandedOver(t *testing.T) {
	for job := range 8 {
		for _, before := range []time.Duration{-50, -1, 0, 1, 50, 99, 101, 150} {
			synctest.Test(t, func(t *testing.T) {
				p, stop := newSimulation(t, plan{
					Actions: []action{{At: time.Second - before*time.Millisecond, VM: 0, Do: "submit", Job: job}},
					Leaves:  map[int]time.Duration{0: time.Second},
				}, &history{})
				defer stop()
				p.store.SetDelay(100 * time.Millisecond)
				time.Sleep(time.Second + maxIdle)
				assert.True(t, p.isHeld(jobName(job)), "job %d, submitted %d ms before the stop, waits until VM 0 is lost", job, before)
			})
		}
	}
}

// TestHandOverOutlastsAnOutage fails all writes of a VM in the first second of its planned stop.
func TestHandOverOutlastsAnOutage(t *testing.T) {
	for _, fault := range []standin.StoreFault{
		standin.Busy, standin.Limited, standin.Reset, standin.LoseAnswer, standin.ExecuteLate,
	} {
		synctest.Test(t, func(t *testing.T) {
			p, stop := newSimulation(t, plan{
				Actions: []action{{At: time.Millisecond, VM: 0, Do: "submit"}},
				Faults:  []faultPeriod{{From: time.Second, For: time.Second, VM: 0, Fault: fault, IsWritesOnly: true}},
				Leaves:  map[int]time.Duration{0: time.Second},
			}, &history{})
			defer stop()
			time.Sleep(2*time.Second + maxIdle)
			assert.True(t, p.isHeld(jobName(0)), "the job waits until the VM is lost, fault %d", fault)
		})
	}
}

// TestItemWithAnUnwrittenResultIsNotHandedOver hands a job over while the result of one of its items can't be written.
func TestItemWithAnUnwrittenResultIsNotHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const finish = time.Second
		p, stop := newSimulation(t, plan{
			Actions: []action{{At: time.Millisecond, VM: 0, Do: "submit"}, {At: finish, VM: 0, Do: "finish", Item: 1}},
			Leaves:  map[int]time.Duration{0: finish + 10*time.Millisecond},
		}, &history{})
		defer stop()
		time.Sleep(finish / 2)
		p.store.SetFault(func(r *http.Request) standin.StoreFault {
			// The result is written first 10 ms before the job is handed over, and both are retried every 150 ms.
			isResult := (time.Since(p.start)-finish)%(150*time.Millisecond) == 0
			if isResult && strings.HasSuffix(r.URL.Path, "/rows-tx") && strings.HasSuffix(r.Header.Get("User-Agent"), "/"+vmName(0)) {
				return standin.Busy
			}
			return standin.NoFault
		})
		time.Sleep(finish/2 + maxIdle)
		var items []int
		for _, m := range p.vms[1:] {
			for _, h := range m.Held() {
				items = append(items, h.Items...)
			}
		}
		assert.Equal(t, []int{0, 2}, items, "the items that the successor runs")
	})
}
