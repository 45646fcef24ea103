package itemrunner

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	// smallOutput is the size up to which an output is discarded for others only if there is no larger one.
	smallOutput = 64 << 10
	// noRoomPause is the pause before the next run of an item whose output was discarded for others.
	noRoomPause = time.Second
)

// errNoRoom says that the run's output was discarded, since the VM holds as many bytes of outputs as it may.
var errNoRoom = errors.New("no room for the item's output")

// SetOutputLimit bounds the bytes of the outputs of unfinished items, and of those that are still to be written to the store; 0
// for no bound. It must be well over maxOutputBytes.
func (r *Runner) SetOutputLimit(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outputLimit = n
}

// OutputBytes returns the bytes of outputs that are held.
func (r *Runner) OutputBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.countOutputs() + r.manager.UnwrittenBytes()
}

// countOutputs counts the bytes of the outputs that are held; the lock is held.
func (r *Runner) countOutputs() int64 {
	r.outputBytes = 0
	for _, j := range r.jobs {
		for _, t := range j.tasks {
			r.outputBytes += int64(len(t.output))
		}
	}
	return r.outputBytes
}

// hasRoomForItems reports whether further items may run: those that run must find room to complete. Outputs of items that don't
// run don't count, since they can be discarded. The lock is held.
func (r *Runner) hasRoomForItems() bool {
	if r.outputLimit == 0 {
		return true
	}
	held := r.manager.UnwrittenBytes()
	if r.outputBytes+held < r.outputLimit/2 {
		return true
	}
	for _, j := range r.jobs {
		for _, t := range j.tasks {
			if t.run != nil {
				held += int64(len(t.output))
			}
		}
	}
	return held < r.outputLimit/2
}

// makeRoom makes room for n bytes more of the task's output, if need be by discarding the outputs of others. It returns false if
// the task's own was discarded, so that its run has ended. The lock is held.
func (r *Runner) makeRoom(t *task, n int64) bool {
	if r.outputLimit == 0 || r.outputBytes+r.manager.UnwrittenBytes()+n <= r.outputLimit {
		return true
	}
	for r.countOutputs()+r.manager.UnwrittenBytes()+n > r.outputLimit {
		victim := r.dispensable(t)
		r.log.WithFields(logrus.Fields{
			"job": victim.job.id, "item": victim.item.ID, "bytes": len(victim.output), "held": r.outputBytes, "limit": r.outputLimit,
			"ran": victim.run != nil,
		}).Warn("output of item discarded: no room for the outputs of all items")
		if victim.run != nil {
			r.cancel(victim, errNoRoom)
		}
		victim.discardOutput()
		victim.notBefore = time.Now().Add(noRoomPause)
		if victim == t {
			return false
		}
	}
	return true
}

// dispensable returns the task whose output is discarded for others: one that doesn't run, the largest of these first; else, of
// those above smallOutput, the one whose run began last, so that the first one completes. It is asker if there is no other.
func (r *Runner) dispensable(asker *task) *task {
	victim := asker
	for _, j := range r.jobs {
		for _, t := range j.tasks {
			if len(t.output) > 0 && !t.isOver && isDispensedBefore(t, victim) {
				victim = t
			}
		}
	}
	return victim
}

func isDispensedBefore(a, b *task) bool {
	if (a.run == nil) != (b.run == nil) {
		return a.run == nil
	}
	if a.run == nil {
		return len(a.output) > len(b.output)
	}
	if isSmall := len(a.output) <= smallOutput; isSmall != (len(b.output) <= smallOutput) {
		return !isSmall
	}
	return a.run.started.After(b.run.started)
}
