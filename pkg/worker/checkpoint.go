package worker

import (
	"context"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/jobkeeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
)

const (
	// checkpointEvery bounds the output that the loss of a VM costs to a part of an item's run.
	checkpointEvery = 1500 * time.Millisecond
	// checkpointEvents is how many new events are worth a row.
	checkpointEvents = 30
)

func (w *Worker) runCheckpoint(ctx context.Context) {
	pauser.Every(ctx, checkpointEvery, func(time.Time) { w.checkpoint(ctx) })
}

// checkpoint saves the outputs that have grown, in one transaction for each job.
func (w *Worker) checkpoint(ctx context.Context) {
	w.mu.Lock()
	byJob := map[string][]jobkeeper.Checkpoint{}
	for id, j := range w.jobs {
		for i, t := range j.tasks {
			if t.isOver || t.lastEvent < t.savedEvent+checkpointEvents {
				continue
			}
			byJob[id] = append(byJob[id], jobkeeper.Checkpoint{
				Item: i, After: t.savedEvent, LastEvent: t.lastEvent, Writer: j.writer, IsFirst: !t.hasSaved,
				Output: append([]byte(nil), t.output[t.saved:]...),
			})
		}
	}
	w.mu.Unlock()
	for id, list := range byJob {
		if err := w.keeper.Save(ctx, id, list); err != nil {
			w.log.WithError(err).WithField("job", id).Warn("outputs not saved")
			continue
		}
		w.markSaved(id, list)
	}
}

func (w *Worker) markSaved(id string, list []jobkeeper.Checkpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return
	}
	for _, c := range list {
		if t, ok := j.tasks[c.Item]; ok {
			t.saved += len(c.Output)
			t.savedEvent = c.LastEvent
			t.hasSaved = true
		}
	}
}
