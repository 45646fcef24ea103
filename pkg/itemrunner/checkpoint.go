package itemrunner

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/pkg/recoverer"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	// checkpointInterval limits the output that is lost with a VM to a part of an item's run.
	checkpointInterval = 1500 * time.Millisecond
	// minCheckpointEvents is the number of new events from which on a checkpoint is written.
	minCheckpointEvents = 30
)

func (r *Runner) runCheckpoint(ctx context.Context) {
	sleeper.Every(ctx, checkpointInterval, func(time.Time) { r.checkpoint(ctx) })
}

// jobCheckpoint holds the checkpoints of a job's items, and the outputs from which they were taken. The shortest come first, so
// that one that is too large for the store keeps none of the others back.
type jobCheckpoint struct {
	outputs []*itemOutput
	list    []jobmanager.Checkpoint
}

// checkpoint saves the outputs that have at least minCheckpointEvents new events, in one transaction for each job. A job whose
// checkpoint fails or panics is skipped until the next interval.
func (r *Runner) checkpoint(ctx context.Context) {
	for _, id := range r.jobIDs() {
		err := recoverer.Call(func() error { return r.checkpointJob(ctx, id) })
		if err != nil && !r.reportPanic("checkpoint", id, err) {
			r.log.WithError(err).WithField("job", id).Warn("checkpoint of item outputs not saved; retrying at the next interval")
		}
	}
}

func (r *Runner) jobIDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.jobs))
}

func (r *Runner) checkpointJob(ctx context.Context, id string) error {
	return r.saveEvents(ctx, id, minCheckpointEvents)
}

// saveEvents saves the job's outputs that have at least minEvents new events.
func (r *Runner) saveEvents(ctx context.Context, id string, minEvents int64) error {
	select {
	case r.checkpointing <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for another checkpoint")
	}
	defer func() { <-r.checkpointing }()
	c := r.newJobCheckpoint(id, minEvents)
	n, err := r.manager.Save(ctx, id, c.list)
	r.markSaved(c, n)
	return err
}

// newJobCheckpoint returns the checkpoints of the job's outputs that have at least minEvents new events. It changes nothing.
func (r *Runner) newJobCheckpoint(id string, minEvents int64) jobCheckpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := jobCheckpoint{}
	var due []int
	if j, ok := r.jobs[id]; ok {
		for i, t := range j.tasks {
			if !t.isOver && t.sequence.CanResume() && t.sequence.Last() >= t.savedEvent+minEvents {
				due = append(due, i)
			}
		}
		slices.SortFunc(due, func(a, b int) int { return cmp.Compare(j.tasks[a].unsavedBytes(), j.tasks[b].unsavedBytes()) })
		for _, i := range due {
			c.outputs = append(c.outputs, j.tasks[i].itemOutput)
			c.list = append(c.list, j.tasks[i].newCheckpoint(i))
		}
	}
	return c
}

func (o *itemOutput) unsavedBytes() int { return len(o.output) - o.savedBytes }

// newCheckpoint returns a checkpoint of what is not saved of the item's output. It shares the output's bytes, which don't change:
// an output only grows.
func (o *itemOutput) newCheckpoint(item int) jobmanager.Checkpoint {
	c := jobmanager.Checkpoint{
		Item: item, OutputID: o.id, After: o.savedEvent, LastEvent: o.sequence.Last(),
		Output: o.output[o.savedBytes:len(o.output):len(o.output)],
	}
	c.Software, _ = o.begun.Get()
	if !o.hasSaved {
		c.Continues = o.continues
	}
	return c
}

// markSaved records how much of the first n outputs is saved; only saveEvents changes that.
func (r *Runner) markSaved(c jobCheckpoint, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, o := range c.outputs[:n] {
		o.savedBytes += len(c.list[i].Output)
		o.savedEvent = c.list[i].LastEvent
		o.hasSaved = true
	}
}
