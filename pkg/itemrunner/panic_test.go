package itemrunner

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
)

// runOutcomes counts the outcomes of runs.
type runOutcomes map[string]int

func (o runOutcomes) ItemRun(outcome string) { o[outcome]++ }

func (o runOutcomes) Panicked(work string) { o["panic in "+work]++ }

// TestPanicInARunEndsTheRunAlone forces a panic in the run of an item, which has no pool of connections: the item's output is
// discarded, and its slot and the lock are free.
func TestPanicInARunEndsTheRunAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		vms, _ := newTestVMs(ctx, t, 1)
		v, outcomes := vms[0], runOutcomes{}
		log, lines := logtest.NewNullLogger()
		v.runner.metrics, v.runner.log = outcomes, log
		v.runner.balancer = balancer.New(balancer.Config{}, nil, rand.New(rand.NewPCG(1, 1)), log)
		v.load(ctx)
		v.run(10, 1, "1")
		runCtx, cancelRun := context.WithCancelCause(ctx)
		run := &itemRun{endpoint: registrar.Endpoint{ID: "e"}, ticket: &placer.Ticket{}, cancel: cancelRun, started: time.Now()}
		v.task.run = run
		v.runner.runItem(runCtx, v.task, run, registrar.Route{})
		require.True(t, v.runner.mu.TryLock(), "the lock is held")
		v.runner.mu.Unlock()
		assert.Equal(t, runOutcomes{"panicked": 1, "panic in item run": 1}, outcomes)
		assert.Nil(t, v.task.run)
		assert.True(t, run.ticket.HasEnded(), "the slot is not free")
		assert.Equal(t, continuer.NoEvent, v.task.sequence.Last(), "the output is kept")
		assert.False(t, v.task.isOver)
		require.NotEmpty(t, lines.Entries)
		assert.Contains(t, lines.Entries[0].Data["stack"], "exchange")
		cancel()
		synctest.Wait()
	})
}

// TestPanicInACheckpointSkipsItsJob breaks an output of one job, so that its checkpoint panics: that of the other is saved.
func TestPanicInACheckpointSkipsItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		vms, _ := newTestVMs(ctx, t, 1)
		v := vms[0]
		v.load(ctx)
		outcomes := runOutcomes{}
		v.runner.metrics = outcomes
		v.run(40, 1, "1")
		broken := newItemOutput()
		broken.sequence, broken.savedBytes = continuer.NewSequence(40), 1
		v.runner.jobs["broken"] = &jobState{id: "broken", items: []jobmanager.Item{{}}, tasks: map[int]*task{0: {itemOutput: broken}}}
		require.NotPanics(t, func() { v.runner.checkpoint(ctx) })
		assert.Equal(t, string(v.task.output), v.saved(ctx))
		assert.Equal(t, runOutcomes{"panic in checkpoint": 1}, outcomes)
		assert.True(t, v.runner.mu.TryLock(), "the lock is held")
		cancel()
		synctest.Wait()
	})
}
