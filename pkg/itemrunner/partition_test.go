package itemrunner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
)

// cutMembers is a membership in which every VM is live, and those of cut are partitioned.
type cutMembers struct {
	liveMembers
	vms int
	mu  sync.Mutex
	cut map[string]bool
}

func (m *cutMembers) VMsInTouch() []gossiper.VMIncarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	var vms []gossiper.VMIncarnation
	for i := range m.vms {
		if name := fmt.Sprint("v", i); !m.cut[name] {
			vms = append(vms, gossiper.VMIncarnation{Name: name, Incarnation: 1})
		}
	}
	return vms
}

// fleet holds VMs of which v0 holds the job first.
type fleet struct {
	vms     []*testVM
	members *cutMembers
}

func newFleet(ctx context.Context, t *testing.T, n int) *fleet {
	f := &fleet{members: &cutMembers{vms: n, cut: map[string]bool{}}}
	vms, store := newTestVMsAmong(ctx, t, n, func(string) jobmanager.Members { return f.members })
	f.vms = vms
	store.Put("job", testPartition(), testJob, jobrecorder.Job{
		ID: testJob, Tokens: []int64{1}, ItemRows: 1, Holder: jobrecorder.VMRef{VM: "v0", Incarnation: 1}, ConfigVersion: 2,
	})
	for _, v := range vms {
		log, _ := logtest.NewNullLogger()
		reg := registrar.NewRegistry((&registrar.Config{Version: 1}).Index(), map[string]registrar.Endpoint{})
		v.runner.balancer = balancer.New(balancer.Config{}, nil, rand.New(rand.NewPCG(1, 1)), log)
		v.runner.registry, v.runner.metrics, v.runner.ctx = func() *registrar.Registry { return reg }, runOutcomes{}, ctx
	}
	time.Sleep(feedDelay)
	f.settle(ctx)
	return f
}

// settle lets the VMs load the jobs that they hold and forget those that they don't.
func (f *fleet) settle(ctx context.Context) {
	for range 3 {
		for _, v := range f.vms {
			v.runner.step(ctx, time.Now())
		}
		time.Sleep(feedDelay)
	}
}

// cutOff partitions the VM from the endpoints, or ends that.
func (f *fleet) cutOff(vm int, is, isSilent bool) {
	f.members.mu.Lock()
	f.members.cut[fmt.Sprint("v", vm)] = is
	f.members.mu.Unlock()
	f.vms[vm].runner.SetPartitioned(is, isSilent)
}

// item returns the VM's task of the item; nil if it has none.
func (v *testVM) item() *task {
	v.runner.mu.Lock()
	defer v.runner.mu.Unlock()
	if j, ok := v.runner.jobs[testJob]; ok {
		return j.tasks[0]
	}
	return nil
}

// planned returns the items that the VM would start now.
func (v *testVM) planned() []*task {
	v.runner.mu.Lock()
	defer v.runner.mu.Unlock()
	now := time.Now().Add(time.Second)
	v.runner.planItems(now)
	return v.runner.waiting(now)
}

// begin begins a run of the item, if the item is the VM's to run, and appends n events.
func (v *testVM) begin(ctx context.Context, n int) *itemRun {
	t := v.item()
	if t == nil || !t.isHere || t.run != nil || t.isOver || v.runner.isPartitioned {
		return nil
	}
	_, cancel := context.WithCancelCause(ctx)
	run := &itemRun{
		endpoint: registrar.Endpoint{ID: "e", SoftwareVersion: "1"}, ticket: &placer.Ticket{}, cancel: cancel, started: time.Now(),
	}
	v.runner.mu.Lock()
	v.task, t.run = t, run
	v.runner.mu.Unlock()
	for range n {
		require.NoError(v.t, v.runner.appendEvent(t, run, eventOf(t.sequence.Last()+1)))
	}
	return run
}

// breakOff ends the run as if the endpoint's connection had been reset.
func (v *testVM) breakOff(run *itemRun) string {
	v.runner.mu.Lock()
	defer v.runner.mu.Unlock()
	isCurrent := v.task.run == run
	if isCurrent {
		v.task.run = nil
	}
	return v.runner.recordEnd(v.task, run, registrar.Route{}, context.DeadlineExceeded, nil, isCurrent)
}

func eventOf(id int64) relayer.Event {
	return relayer.Event{ID: id, Data: fmt.Appendf(nil, "%d", id)}
}

// TestSilentRunsGoOnElsewhere partitions a VM whose connections are silent: its run ends at once, with the slot given back, and
// the next holder goes on after its last event, though that is not yet due for a checkpoint.
func TestSilentRunsGoOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, t, 2)
		run := f.vms[0].begin(ctx, minCheckpointEvents/2)
		require.NotNil(t, run)
		f.cutOff(0, true, true)
		assert.True(t, run.ticket.HasEnded(), "the slot isn't free")
		assert.Empty(t, f.vms[0].runner.runningItems(testJob))
		assert.Equal(t, "stopped", f.vms[0].breakOff(run), "a run that this VM stopped failed")
		assert.False(t, f.vms[0].runner.manager.IsSavingFailures(testJob))
		f.settle(ctx)
		require.NotNil(t, f.vms[1].item())
		assert.True(t, f.vms[1].item().isHere)
		assert.EqualValues(t, minCheckpointEvents/2-1, f.vms[1].item().sequence.Last(), "the item begins anew")
		assert.Empty(t, f.vms[0].runner.jobs, "the VM keeps what it no longer runs")
		f.cutOff(0, false, false)
		f.settle(ctx)
		assert.Nil(t, f.vms[0].item(), "the VM takes the item back")
		cancel()
		synctest.Wait()
	})
}

// TestRunsThatAreNotSilentGoOn partitions a VM whose connections live: its run stays its own and the other VM doesn't start the
// item until the run has broken off, also if that is after the partition. The break is no failure of the endpoint.
func TestRunsThatAreNotSilentGoOn(t *testing.T) {
	for _, how := range []string{"breaks off", "breaks off after the partition", "is stopped as silent"} {
		t.Run(how, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newFleet(ctx, t, 2)
				run := f.vms[0].begin(ctx, 40)
				f.cutOff(0, true, false)
				f.settle(ctx)
				require.NotNil(t, f.vms[0].item())
				assert.Same(t, run, f.vms[0].item().run, "the run was stopped")
				assert.Nil(t, f.vms[1].item(), "two VMs run the item")
				require.True(t, f.vms[1].runner.manager.IsHeld(testJob))
				require.NoError(t, f.vms[0].runner.release(ctx))
				f.settle(ctx)
				assert.Nil(t, f.vms[1].item(), "an item that runs was released")

				v := f.vms[0]
				require.NoError(t, v.runner.appendEvent(v.task, run, eventOf(40)))
				switch how {
				case "breaks off":
					require.NotPanics(t, func() { v.runner.recordBreak(ctx, v.task, run, true) }, "the prompt gets a strike")
					assert.Equal(t, "partitioned", v.breakOff(run))
				case "breaks off after the partition":
					f.cutOff(0, false, false)
					assert.Equal(t, "broken", v.breakOff(run))
					f.settle(ctx)
					assert.False(t, v.item().isHere, "the VM runs an item that it doesn't hold")
					assert.Empty(t, v.planned(), "the VM plans an item that it doesn't hold")
				default:
					f.cutOff(0, true, true)
				}
				assert.True(t, run.ticket.HasEnded())
				require.NoError(t, v.runner.release(ctx))
				time.Sleep(feedDelay)
				f.settle(ctx)
				require.NotNil(t, f.vms[1].item())
				assert.EqualValues(t, 40, f.vms[1].item().sequence.Last())
				assert.Nil(t, v.item())
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestPartitionedVMPlansNoItems checks that a VM starts nothing while it is partitioned, and goes on with what it has when no
// other VM could take it.
func TestPartitionedVMPlansNoItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, t, 1)
		run := f.vms[0].begin(ctx, 10)
		require.NotNil(t, run)
		f.cutOff(0, true, true)
		r := f.vms[0].runner
		r.plannedAt = time.Time{}
		r.step(ctx, time.Now())
		assert.Zero(t, r.plannedAt)
		assert.Nil(t, f.vms[0].begin(ctx, 1))
		time.Sleep(feedDelay)
		f.cutOff(0, false, false)
		time.Sleep(feedDelay)
		r.step(ctx, time.Now())
		assert.NotZero(t, r.plannedAt)
		require.NotNil(t, f.vms[0].item())
		assert.True(t, f.vms[0].item().isHere)
		assert.Len(t, f.vms[0].planned(), 1)
		assert.EqualValues(t, 9, f.vms[0].item().sequence.Last(), "the output is lost")
		cancel()
		synctest.Wait()
	})
}

// TestItemRunsAtOneVM partitions VMs in any order, silent or not, while runs begin and break off: the item never runs at two, and
// is one VM's to run in the end.
func TestItemRunsAtOneVM(t *testing.T) {
	type fleetStep struct {
		Do string
		VM int
	}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fleetStep {
			return fleetStep{
				Do: rapid.SampledFrom([]string{
					"begin", "begin", "break", "silent", "cut", "heal", "release", "settle", "wait",
				}).Draw(t, "do"),
				VM: rapid.IntRange(0, 2).Draw(t, "vm"),
			}
		}), 5, 30).Draw(rt, "steps")
		wrong, holders := "", 0
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := newFleet(ctx, t, 3)
			runs := make([]*itemRun, len(f.vms))
			release := func() {
				for _, v := range f.vms {
					require.NoError(t, v.runner.release(ctx))
				}
			}
			for _, s := range steps {
				v := f.vms[s.VM]
				switch s.Do {
				case "begin":
					if run := v.begin(ctx, 10); run != nil {
						runs[s.VM] = run
					}
				case "break":
					if runs[s.VM] != nil {
						v.breakOff(runs[s.VM])
						runs[s.VM] = nil
					}
				case "silent", "cut", "heal":
					f.cutOff(s.VM, s.Do != "heal", s.Do == "silent")
				case "release":
					release()
				case "settle":
					f.settle(ctx)
				case "wait":
					time.Sleep(100 * time.Millisecond)
				}
				var running []int
				for i, v := range f.vms {
					if t := v.item(); t != nil && t.run != nil {
						running = append(running, i)
					}
				}
				if len(running) > 1 {
					wrong = fmt.Sprintf("VMs %v run the item after %+v", running, s)
				}
			}
			for i := range f.vms {
				f.cutOff(i, false, false)
				if runs[i] != nil {
					f.vms[i].breakOff(runs[i])
				}
			}
			time.Sleep(feedDelay)
			release()
			time.Sleep(feedDelay)
			f.settle(ctx)
			holders = len(slices.DeleteFunc(slices.Clone(f.vms), func(v *testVM) bool { return v.item() == nil || !v.item().isHere }))
			cancel()
			synctest.Wait()
		})
		require.Empty(rt, wrong)
		require.Equal(rt, 1, holders, "VMs that are to run the item")
	})
}
