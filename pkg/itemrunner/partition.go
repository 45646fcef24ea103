package itemrunner

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/pkg/recoverer"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	// releaseInterval limits how long an item waits that a former holder no longer runs.
	releaseInterval = 100 * time.Millisecond
	// saveTimeout bounds how long a hand-over waits until the outputs are saved.
	saveTimeout = 500 * time.Millisecond
)

// SetPartitioned says whether this VM reaches no endpoint, and whether its open connections are silent, too. While it is
// partitioned, no item starts, and the jobs are handed over to VMs in touch. Running items go on, and stay this VM's; if the
// connections are silent, they are stopped, and go on at the next holder after their last event. It does not block on the store
// or an endpoint. It is called after Start, and calls must not overlap.
func (r *Runner) SetPartitioned(is, isSilent bool) {
	r.mu.Lock()
	if r.isPartitioned == is && r.isSilent == isSilent {
		r.mu.Unlock()
		return
	}
	r.isPartitioned, r.isSilent = is, isSilent
	if is {
		r.balancer.SetBound(nil)
		r.balancer.SetWaiting(nil)
	}
	stopped := 0
	if is && isSilent {
		stopped = r.stopRuns()
	}
	r.mu.Unlock()
	r.log.WithField("partitioned", is).WithField("silent", isSilent).WithField("stopped", stopped).
		Info("batch items: partition from the endpoints changed")
	r.manager.SetPartitioned(r.ctx, is, jobmanager.ItemRuns{Running: r.runningItems, Save: r.saveOutputs})
}

// stopRuns ends all runs and returns their number; the lock is held.
func (r *Runner) stopRuns() int {
	n := 0
	for _, j := range r.jobs {
		for _, t := range j.tasks {
			if t.run != nil {
				r.cancel(t, errPartitioned)
				n++
			}
		}
	}
	return n
}

// saveOutputs saves all events of the job's outputs, so that another VM goes on after them.
func (r *Runner) saveOutputs(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err := recoverer.Call(func() error { return r.saveEvents(ctx, id, 1) })
	if err != nil && !r.reportPanic("checkpoint", id, err) {
		r.log.WithError(err).WithField("job", id).Warn("outputs not saved; their items go on at the next holder after earlier events")
	}
}

// dropMoved ends the runs of items that another VM is to run, and forgets what this VM has of them. Items that it keeps stay
// until they are released. The lock is held.
func (r *Runner) dropMoved() {
	if r.isLeaving {
		return
	}
	for id, j := range r.jobs {
		kept, isHolder := r.manager.KeptItems(id)
		if isHolder {
			continue
		}
		for i, t := range j.tasks {
			isUnwritten := t.isOver && r.manager.IsUnwritten(id, i)
			if isUnwritten || slices.Contains(kept, i) {
				continue
			}
			if t.run != nil {
				r.cancel(t, errNotNeeded)
			}
			delete(j.tasks, i)
		}
		if len(j.tasks) == 0 && !j.isLoading && !r.manager.IsSavingFailures(id) {
			delete(r.jobs, id)
		}
	}
}

func (r *Runner) runRelease(ctx context.Context) {
	hasFailed := false
	sleeper.Every(ctx, releaseInterval, func(time.Time) {
		err := r.release(ctx)
		if err != nil && !hasFailed {
			r.log.WithError(err).Warn("items not released to the holder of their job; retrying")
		}
		hasFailed = err != nil
	})
}

// release gives the items that this VM kept at a hand-over, and that no longer run here, to the holders of their jobs. It returns
// the last error.
func (r *Runner) release(ctx context.Context) error {
	var failed error
	for id := range r.manager.KeptJobs() {
		running := r.runningItems(id)
		kept, _ := r.manager.KeptItems(id)
		idle := slices.DeleteFunc(kept, func(i int) bool { return slices.Contains(running, i) })
		if len(idle) == 0 {
			continue
		}
		r.saveOutputs(ctx, id)
		if err := r.manager.Release(ctx, id, idle); err != nil {
			failed = errors.Wrapf(err, "release %d items of job %s", len(idle), id)
		}
	}
	return failed
}
