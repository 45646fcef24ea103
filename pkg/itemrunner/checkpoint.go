package itemrunner

import (
	"bytes"
	"context"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
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

// jobCheckpoint holds the checkpoints of a job's items, and the outputs from which they were taken.
type jobCheckpoint struct {
	outputs []*itemOutput
	list    []jobmanager.Checkpoint
}

// checkpoint saves the outputs that have at least minCheckpointEvents new events, in one transaction for each job.
func (r *Runner) checkpoint(ctx context.Context) {
	for id, c := range r.newCheckpoints() {
		if err := r.manager.Save(ctx, id, c.list); err != nil {
			r.log.WithError(err).WithField("job", id).Warn("checkpoint of item outputs not saved; retrying at the next interval")
			continue
		}
		r.markSaved(c)
	}
}

// newCheckpoints returns the checkpoints to be saved, by job.
func (r *Runner) newCheckpoints() map[string]jobCheckpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	byJob := map[string]jobCheckpoint{}
	for id, j := range r.jobs {
		for i, t := range j.tasks {
			if t.isOver || !t.sequence.CanResume() || t.sequence.Last() < t.savedEvent+minCheckpointEvents {
				continue
			}
			c := byJob[id]
			c.outputs = append(c.outputs, t.itemOutput)
			c.list = append(c.list, t.newCheckpoint(i))
			byJob[id] = c
		}
	}
	return byJob
}

// newCheckpoint returns a checkpoint of what is not saved of the item's output.
func (o *itemOutput) newCheckpoint(item int) jobmanager.Checkpoint {
	c := jobmanager.Checkpoint{
		Item: item, OutputID: o.id, After: o.savedEvent, LastEvent: o.sequence.Last(), Output: bytes.Clone(o.output[o.savedBytes:]),
	}
	c.Software, _ = o.begun.Get()
	if !o.hasSaved {
		c.Continues = o.continues
	}
	return c
}

// markSaved records how much of the outputs is saved; only checkpoint changes that.
func (r *Runner) markSaved(c jobCheckpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, o := range c.outputs {
		o.savedBytes += len(c.list[n].Output)
		o.savedEvent = c.list[n].LastEvent
		o.hasSaved = true
	}
}
