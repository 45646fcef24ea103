package itemrunner

import (
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

// checkpoint saves the outputs that have at least minCheckpointEvents new events, in one transaction for each job.
func (r *Runner) checkpoint(ctx context.Context) {
	r.mu.Lock()
	byJob := map[string][]jobmanager.Checkpoint{}
	for id, j := range r.jobs {
		for i, t := range j.tasks {
			if t.isOver || t.lastEvent < t.savedEvent+minCheckpointEvents {
				continue
			}
			software, _ := t.begun.Get()
			byJob[id] = append(byJob[id], jobmanager.Checkpoint{
				Item: i, Software: software, After: t.savedEvent, LastEvent: t.lastEvent, Writer: j.writer, IsFirstOfWriter: !t.hasSaved,
				Output: append([]byte(nil), t.output[t.savedBytes:]...),
			})
		}
	}
	r.mu.Unlock()
	for id, list := range byJob {
		if err := r.manager.Save(ctx, id, list); err != nil {
			r.log.WithError(err).WithField("job", id).Warn("checkpoint of item outputs not saved; retrying at the next interval")
			continue
		}
		r.markSaved(id, list)
	}
}

// markSaved records the saved lengths of the outputs, unless the job was dropped meanwhile.
func (r *Runner) markSaved(id string, list []jobmanager.Checkpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[id]
	if !ok {
		return
	}
	for _, c := range list {
		if t, ok := j.tasks[c.Item]; ok && t.savedEvent == c.After {
			t.savedBytes += len(c.Output)
			t.savedEvent = c.LastEvent
			t.hasSaved = true
		}
	}
}
