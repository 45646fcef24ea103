package jobmanager

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// ItemRuns is what runs the items of the jobs that this VM holds.
type ItemRuns struct {
	// Running returns the items of a job that this VM still finishes after a hand-over.
	Running func(job string) []int
	// Save saves the outputs of the job's items, as far as it can, so that the next holder goes on with them; nil for none.
	Save func(ctx context.Context, job string)
}

// SetPartitioned says whether this VM reaches no endpoint. While it does not, its jobs, and any that it comes to hold, are
// handed over in the background to VMs in touch, new jobs are held by such a VM at once, and this VM takes over none of lost
// VMs. If no VM is in touch, it keeps its jobs. When the partition ends, it keeps those that it still holds. ctx is that of the
// process.
func (m *Manager) SetPartitioned(ctx context.Context, is bool, runs ItemRuns) {
	m.mu.Lock()
	m.isPartitioned = is
	m.notifyWaiters()
	m.mu.Unlock()
	if is {
		m.startHandOver(ctx, runs)
	}
}

// KeptItems returns the items without a result that this VM, as a former holder of the job, keeps from the holder, and whether it
// is the holder. It returns none of those whose result it has yet to write.
func (m *Manager) KeptItems(job string) (items []int, isHolder bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.jobs[job]
	if !ok {
		return nil, false
	}
	return m.keptItems(r), r.job.Holder == m.self()
}

// keptItems returns the items of KeptItems; the caller holds the lock.
func (m *Manager) keptItems(r *record) []int {
	return slices.DeleteFunc(r.job.KeptBy(m.self()), func(i int) bool {
		return slices.ContainsFunc(r.finished, func(f finishedItem) bool { return f.item == i })
	})
}

// KeptJobs returns the items of KeptItems of all jobs that have some. A VM that only leaves releases none: it ends soon.
func (m *Manager) KeptJobs() map[string][]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := map[string][]int{}
	if m.isLeaving && !m.isPartitioned {
		return kept
	}
	for id, r := range m.jobs {
		if items := m.keptItems(r); len(items) > 0 {
			kept[id] = items
		}
	}
	return kept
}

// Release gives the items that this VM keeps, and no longer runs, back to the job's holder.
func (m *Manager) Release(ctx context.Context, job string, items []int) error {
	isReleased := false
	err := m.writeTransition(ctx, job, func(j jobrecorder.Job) (storer.Change, jobrecorder.Job, bool) {
		var next jobrecorder.Job
		next, isReleased = j.Release(m.self(), items)
		isReleased = isReleased && j.Holder != m.self() && !j.IsOver()
		return storer.Change{}, next, isReleased
	})
	if err == nil && isReleased {
		m.log.WithFields(logrus.Fields{"job": job, "items": len(items)}).Info("items released to the holder of the job")
	}
	return err
}
