package itemrunner

import (
	"slices"
	"time"
)

// preempt ends the runs whose slots online requests need; the lock is held.
func (r *Runner) preempt(now time.Time) {
	byEndpoint := map[string][]*task{}
	for _, j := range r.jobs {
		for _, t := range j.tasks {
			if t.run != nil {
				byEndpoint[t.run.endpoint.ID] = append(byEndpoint[t.run.endpoint.ID], t)
			}
		}
	}
	reg := r.registry()
	for id, tasks := range byEndpoint {
		e, ok := reg.Endpoints[id]
		if !ok {
			e = tasks[0].run.endpoint
		}
		n := r.balancer.ExcessBatch(e)
		if n == 0 {
			continue
		}
		slices.SortFunc(tasks, preemptedBefore)
		for _, t := range tasks[:min(n, len(tasks))] {
			r.cancel(t, errPreempted)
			t.notBefore = now
		}
	}
}

// preemptedBefore orders tasks for preemption: trials last, of the others late ones first, then those with the latest due time,
// then those that started last.
func preemptedBefore(a, b *task) int {
	if isTrial := a.run.trial != nil; isTrial != (b.run.trial != nil) {
		if isTrial {
			return 1
		}
		return -1
	}
	if a.isLate != b.isLate {
		if a.isLate {
			return -1
		}
		return 1
	}
	if c := b.job.due.Compare(a.job.due); c != 0 {
		return c
	}
	return b.run.started.Compare(a.run.started)
}
