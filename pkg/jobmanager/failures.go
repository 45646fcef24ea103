package jobmanager

import (
	"context"
	"maps"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// failureInterval is the time after a failed run in which further ones of the job's items are written with it. A holder that is
// lost takes with it at most the failures of one interval.
const failureInterval = 500 * time.Millisecond

// Fail counts a failed run of the item, and returns the total of all holders as far as this VM knows it; 0 if the job is
// unknown. It writes the total to the store in the background, with retries.
func (m *Manager) Fail(ctx context.Context, job string, item int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec, ok := m.jobs[job]
	if !ok {
		return 0
	}
	n := max(rec.job.Failures[item], rec.failures[item]) + 1
	rec.failures[item] = n
	if !rec.isSavingFailures {
		rec.isSavingFailures = true
		go m.runSaveFailures(ctx, job)
	}
	return n
}

// IsSavingFailures reports whether failures of the job's items may still have to be written to the store.
func (m *Manager) IsSavingFailures(job string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec, ok := m.jobs[job]
	return ok && rec.isSavingFailures
}

// runSaveFailures writes the job's failures, at most once in each interval, until all are written or ctx ends.
func (m *Manager) runSaveFailures(ctx context.Context, job string) {
	for sleeper.Sleep(ctx, failureInterval) {
		err := m.writeTransition(ctx, job, func(j jobrecorder.Job) (storer.Change, jobrecorder.Job, bool) {
			next, isChanged := j.RecordFailures(m.failuresOf(job))
			return storer.Change{}, next, isChanged && !j.IsOver()
		})
		if m.endSavingFailures(job) {
			return
		}
		if err != nil {
			m.log.WithError(err).WithField("job", job).Warn("could not write failures of items; retrying")
		}
	}
}

// endSavingFailures records that no failure of the job is left to be written; false if there is one.
func (m *Manager) endSavingFailures(job string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec, ok := m.jobs[job]
	if !ok {
		return true
	}
	_, isChanged := rec.job.RecordFailures(rec.failures)
	rec.isSavingFailures = isChanged && !rec.job.IsOver()
	return !rec.isSavingFailures
}

// failuresOf returns the totals of failed runs that this VM counted.
func (m *Manager) failuresOf(job string) map[int]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rec, ok := m.jobs[job]; ok {
		return maps.Clone(rec.failures)
	}
	return nil
}
