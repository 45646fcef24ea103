package itemrunner

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// partIsolator holds the items with a part until a time.
type partIsolator struct {
	Isolator
	part string
	due  time.Time
}

func (i *partIsolator) HoldOf([]string) quarantiner.Hold {
	if i.part == "" {
		return quarantiner.Hold{}
	}
	return quarantiner.Hold{Parts: []string{i.part}, Part: i.part, Due: i.due}
}

// waitingVM is a VM with two items of a batch route, and an engine of each of two software versions that offers no slot.
type waitingVM struct {
	*Runner
	job      *jobState
	route    registrar.Route
	reg      *registrar.Registry
	isolator *partIsolator
	store    *standin.Store
	lines    *logtest.Hook
}

func newWaitingVM(ctx context.Context, t *testing.T) *waitingVM {
	vms, store := newTestVMs(ctx, t, 1)
	log, lines := logtest.NewNullLogger()
	v := &waitingVM{Runner: vms[0].runner, lines: lines, isolator: &partIsolator{}, store: store}
	store.Put("job", testPartition(), testJob, heldBy("v0"))
	time.Sleep(feedDelay)
	v.ctx, v.Runner.isolator, v.log, v.metrics = ctx, v.isolator, log, runOutcomes{}
	v.balancer = balancer.New(balancer.Config{}, nil, rand.New(rand.NewPCG(1, 1)), log)
	v.registry = func() *registrar.Registry { return v.reg }
	v.job = &jobState{
		id: testJob, host: "h", pathPrefix: "/run", due: time.Now().Add(time.Minute), items: make([]jobmanager.Item, 2),
		tasks: map[int]*task{},
	}
	v.jobs[testJob] = v.job
	for i := range v.job.items {
		v.job.items[i] = jobmanager.Item{ID: "item" + strconv.Itoa(i), Path: "/run", Tokens: 1}
		v.job.tasks[i] = v.newTask(v.job, i)
	}
	v.route = registrar.Route{
		Name: "r", Host: "h", PathPrefix: "/run", Kind: registrar.KindBatch, Splits: []registrar.Split{{Service: "llm", Weight: 1}},
	}
	v.configure(v.route)
	return v
}

func heldBy(vm string) jobrecorder.Job {
	return jobrecorder.Job{
		ID: testJob, Tokens: []int64{1, 1}, ItemRows: 1, Holder: jobrecorder.VMRef{VM: vm, Incarnation: 1}, ConfigVersion: 1,
	}
}

// configure makes these the routes.
func (v *waitingVM) configure(routes ...registrar.Route) {
	v.reg = registrar.NewRegistry((&registrar.Config{Version: 1, Routes: routes}).Index(), map[string]registrar.Endpoint{
		"e1": {ID: "e1", Service: "llm", SoftwareVersion: "1.4"}, "e2": {ID: "e2", Service: "llm", SoftwareVersion: "1.5"},
	})
}

// pass lets the VM work for a time, and returns the lines about the first item's waits.
func (v *waitingVM) pass(ctx context.Context, d time.Duration) []logrus.Fields {
	v.lines.Reset()
	for range int(d / tickInterval) {
		v.step(ctx, time.Now())
		time.Sleep(tickInterval)
	}
	var found []logrus.Fields
	for _, e := range v.lines.AllEntries() {
		if (e.Message == "batch item waits" || e.Message == "wait of batch item ended") && e.Data["item"] == "item0" {
			found = append(found, e.Data)
		}
	}
	return found
}

// TestWaitingItemSaysForWhat has an item wait for each thing that keeps it from running.
func TestWaitingItemSaysForWhat(t *testing.T) {
	for _, tt := range []struct {
		cause  waitCause
		change func(v *waitingVM)
		needs  logrus.Fields
	}{
		{quarantinedPart, func(v *waitingVM) {
			v.isolator.part, v.isolator.due = "a1b2", time.Now().Add(8*time.Second)
		}, logrus.Fields{"part": "a1b2", "trialIn": int64(7000)}},
		{softwareVersion, func(v *waitingVM) {
			v.job.tasks[0].begun = option.Some(v.reg.Endpoints["e1"].Software())
		}, logrus.Fields{"service": "llm", "softwareVersion": "1.4"}},
		{noSlot, func(*waitingVM) {}, logrus.Fields{"service": "llm"}},
		{noOutputRoom, func(v *waitingVM) {
			v.outputLimit = 8
			v.job.tasks[1].output = make([]byte, 8)
			begin(v.job.tasks[1])
		}, nil},
		{pauseAfterRun, func(v *waitingVM) {
			v.job.tasks[0].notBefore = time.Now().Add(panicPause)
		}, logrus.Fields{"retryIn": int64(4000)}},
		{vmLeaves, func(v *waitingVM) { v.isLeaving = true }, nil},
		{vmPartitioned, func(v *waitingVM) { v.isPartitioned = true }, nil},
		{noConfiguration, func(v *waitingVM) { v.reg = v.reg.WithConfig(nil) }, nil},
		{routeUnknown, func(v *waitingVM) {
			v.configure()
			v.reg.Config.Version = 0
		}, nil},
		{routeUnsupported, func(v *waitingVM) {
			v.route.Kind = registrar.KindUnsupported
			v.configure(v.route)
		}, nil},
		{handover, func(v *waitingVM) {
			kept := heldBy("v1").HandOver(jobrecorder.VMRef{VM: "v0", Incarnation: 1}, []int{0})
			v.store.Put("job", testPartition(), testJob, kept)
			time.Sleep(feedDelay)
			v.job.tasks[0].idleSince = time.Now()
		}, nil},
	} {
		t.Run(string(tt.cause), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				v := newWaitingVM(ctx, t)
				tt.change(v)
				lines := v.pass(ctx, 3*time.Second)
				require.Len(t, lines, 1)
				assert.Equal(t, string(tt.cause), lines[0]["cause"])
				assert.Equal(t, testJob, lines[0]["job"])
				assert.InDelta(t, 1000, lines[0]["waited"], 300)
				for name, value := range tt.needs {
					if ms, ok := value.(int64); ok {
						assert.InDelta(t, ms, lines[0][name], 300, name)
					} else {
						assert.Equal(t, value, lines[0][name], name)
					}
				}
				assert.Positive(t, v.WaitingItems()[string(tt.cause)])
				assert.InDelta(t, 3000, v.OldestWaits()[string(tt.cause)], 300)
				assert.Len(t, v.OldestWaits(), len(waitCauses), "a gauge without a value keeps its last one")
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestItemThatIsNeverPlannedSaysSo has an item that the plan leaves out: it lies for no cause that is known.
func TestItemThatIsNeverPlannedSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		v := newWaitingVM(ctx, t)
		v.plannedAt = time.Now().Add(time.Hour)
		lines := v.pass(ctx, 3*time.Second)
		require.Len(t, lines, 1)
		assert.Equal(t, string(notPlanned), lines[0]["cause"])
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestEndOfAWaitSaysWhatFollows has an item wait for a part, then for a slot, and then have its result.
func TestEndOfAWaitSaysWhatFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		v := newWaitingVM(ctx, t)
		v.isolator.part, v.isolator.due = "a1b2", time.Now().Add(time.Hour)
		require.Len(t, v.pass(ctx, 2*time.Second), 1)
		v.isolator.part = ""
		lines := v.pass(ctx, 2*time.Second)
		require.Len(t, lines, 2)
		assert.Equal(t, "a1b2", lines[0]["part"])
		assert.Equal(t, string(noSlot), lines[0]["next"])
		assert.InDelta(t, 2000, lines[0]["waited"], 300)
		assert.Equal(t, string(noSlot), lines[1]["cause"])
		v.mu.Lock()
		v.finish(v.job.tasks[0], jobmanager.Result{ID: "item0", State: jobrecorder.Abandoned})
		v.mu.Unlock()
		lines = v.pass(ctx, time.Second)
		require.Len(t, lines, 1)
		assert.Equal(t, nextResult, lines[0]["next"])
		assert.InDelta(t, 4000, lines[0]["idle"], 300)
		cancel()
		time.Sleep(10 * time.Second)
	})
}
