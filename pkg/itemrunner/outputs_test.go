package itemrunner

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
)

// begin starts a run of the task that no endpoint sees.
func begin(t *task) *itemRun {
	t.run = &itemRun{
		endpoint: registrar.Endpoint{ID: "e"}, ticket: &placer.Ticket{}, cancel: func(error) {}, started: time.Now(),
		firstEvent: continuer.NoEvent,
	}
	return t.run
}

// TestOutputThatIsTooLongIsBegunAnew has an endpoint send events without end: the item's next run, at a sound endpoint, can
// complete.
func TestOutputThatIsTooLongIsBegunAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		vms, _ := newTestVMs(ctx, t, 1)
		v, outcomes := vms[0], runOutcomes{}
		log, _ := logtest.NewNullLogger()
		v.runner.metrics, v.runner.log = outcomes, log
		v.runner.balancer = balancer.New(balancer.Config{}, nil, rand.New(rand.NewPCG(1, 1)), log)
		v.load(ctx)
		run := begin(v.task)
		var err error
		for id := int64(0); err == nil && id < 2*maxOutputBytes; id++ {
			err = v.runner.appendEvent(v.task, run, relayer.Event{ID: id, Data: bytes.Repeat([]byte("x"), 64<<10)})
		}
		require.ErrorContains(t, err, "1048576 bytes")
		v.runner.recordEnd(v.task, run, registrar.Route{}, err, nil, true)
		v.task.run = nil
		assert.Equal(t, continuer.NoEvent, v.task.sequence.Last(), "the next run goes on with the output of the faulty endpoint")
		v.run(3, 1, "1")
		assert.Equal(t, "0.1\n1.2\n2.3", string(v.task.output))
		cancel()
		synctest.Wait()
	})
}

// TestOutputsOfAllItemsAreBounded runs 40 items of 700 KiB, with 32 slots: what is held stays below the limit of 8 MiB, and all
// complete.
func TestOutputsOfAllItemsAreBounded(t *testing.T) {
	const items, slots, limit, eventBytes, events = 40, 32, 8 << 20, 14 << 10, 50
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		vms, store := newTestVMs(ctx, t, 1)
		r := vms[0].runner
		log, _ := logtest.NewNullLogger()
		r.ctx, r.log = ctx, log
		r.balancer = balancer.New(balancer.Config{}, nil, rand.New(rand.NewPCG(1, 1)), log)
		r.SetOutputLimit(limit)
		store.Put("job", testPartition(), testJob, jobrecorder.Job{
			ID: testJob, Tokens: slices.Repeat([]int64{1}, items), ItemRows: 1, Holder: jobrecorder.VMRef{VM: "v0", Incarnation: 1},
		})
		time.Sleep(feedDelay)
		j := &jobState{id: testJob, items: make([]jobmanager.Item, items), tasks: map[int]*task{}}
		r.jobs[testJob] = j
		for i := range items {
			j.items[i] = jobmanager.Item{ID: strconv.Itoa(i), Path: "/run"}
			j.tasks[i] = r.newTask(j, i)
		}
		// Some items hold the outputs of runs that broke off.
		for i := range 8 {
			run := begin(j.tasks[i])
			for id := range int64(events - 1) {
				require.NoError(t, r.appendEvent(j.tasks[i], run, relayer.Event{ID: id, Data: make([]byte, eventBytes)}))
			}
			j.tasks[i].run = nil
		}
		data, highest, done := make([]byte, eventBytes), int64(0), 0
		for round := 0; done < items; round++ {
			require.Less(t, round, 100*events, "%d of %d items are done", done, items)
			running := 0
			for i := range items {
				step(r, j.tasks[i], data, events, &running, slots)
			}
			highest = max(highest, r.OutputBytes())
			time.Sleep(10 * time.Millisecond)
			done = 0
			for i := range items {
				if j.tasks[i].isOver {
					done++
				}
			}
		}
		assert.LessOrEqual(t, highest, int64(limit), "bytes of outputs")
		time.Sleep(feedDelay)
		assert.Zero(t, r.OutputBytes(), "written outputs are counted")
		cancel()
		synctest.Wait()
	})
}

// step lets a task go on by one event, or begin if there are a slot and room.
func step(r *Runner, t *task, data []byte, events int64, running *int, slots int) {
	r.mu.Lock()
	mayRun := !t.isOver && *running < slots && (t.run != nil || r.hasRoomForItems() && time.Now().After(t.notBefore))
	if mayRun && t.run == nil {
		begin(t)
	}
	run := t.run
	r.mu.Unlock()
	if !mayRun {
		return
	}
	*running++
	if t.sequence.Last() < events-1 {
		_ = r.appendEvent(t, run, relayer.Event{ID: t.sequence.Last() + 1, Data: data})
	}
	if t.sequence.Last() == events-1 {
		r.mu.Lock()
		defer r.mu.Unlock()
		t.run = nil
		r.finish(t, jobmanager.Result{ID: t.item.ID, State: jobrecorder.Succeeded, Output: t.output})
	}
}
