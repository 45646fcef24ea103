package jobmanager

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// commitBytes and commitRows keep an encoded transaction under the store's limits of 1 MB and 100 entries.
	commitBytes = 500 << 10
	commitRows  = 80
)

// Finish records the result of an item, and writes it to the store in the background, with retries. A result of an unknown
// job is ignored.
func (m *Manager) Finish(ctx context.Context, job string, item int, r Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec, ok := m.jobs[job]
	if !ok {
		return
	}
	rec.finished = append(rec.finished, finishedItem{item: item, result: r})
	m.unwritten.Add(int64(len(r.Output)))
	if !rec.isCommitting {
		rec.isCommitting = true
		go m.runCommit(ctx, job, rec)
	}
}

// UnwrittenBytes returns the bytes of the outputs that are still to be written to the store.
func (m *Manager) UnwrittenBytes() int64 { return m.unwritten.Load() }

func outputBytes(list []finishedItem) int64 {
	n := int64(0)
	for _, f := range list {
		n += int64(len(f.result.Output))
	}
	return n
}

// IsFinished reports whether the item has a result, which may not be written yet, or its job is unknown.
func (m *Manager) IsFinished(job string, item int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec, ok := m.jobs[job]
	if !ok || rec.job.IsDone(item) {
		return true
	}
	return slices.ContainsFunc(rec.finished, func(f finishedItem) bool { return f.item == item })
}

// runCommit writes the results of the record's finished items until none is left, the job is deleted or ctx ends.
func (m *Manager) runCommit(ctx context.Context, job string, rec *record) {
	for {
		batch := m.nextBatch(job, rec)
		if len(batch) == 0 {
			return
		}
		err := m.putLargeOutputs(ctx, job, batch)
		if err == nil {
			err = m.commit(ctx, job, batch)
		}
		if err == nil {
			m.markWritten(job, rec, batch)
			continue
		}
		m.log.WithError(err).WithFields(logrus.Fields{"job": job, "items": len(batch)}).Warn("could not write results; retrying")
		m.postpone(rec, len(batch))
		if !sleeper.Sleep(ctx, retryPause) {
			return
		}
	}
}

// putLargeOutputs writes the outputs that don't fit into a transaction as objects; an existing one is from an earlier attempt or
// from another VM.
func (m *Manager) putLargeOutputs(ctx context.Context, job string, batch []finishedItem) error {
	for _, f := range batch {
		if !isLarge(f.result.Output, m.cfg.RowBytes) {
			continue
		}
		err := m.store.PutBlob(ctx, outputObject(job, f.item), f.result.Output)
		if exists := (*storer.ExistsError)(nil); err != nil && !errors.As(err, &exists) {
			return err
		}
	}
	return nil
}

// postpone moves the first n finished items behind the others, so that results that can't be written keep no others back.
func (m *Manager) postpone(rec *record, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec.finished = slices.Concat(rec.finished[n:], rec.finished[:n])
}

// nextBatch returns the finished items that fit into the next transaction, at least one if there are any.
func (m *Manager) nextBatch(job string, rec *record) []finishedItem {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.jobs[job] != rec {
		return nil
	}
	var batch []finishedItem
	size, rows := 0, 0
	for _, f := range rec.finished {
		size += len(f.result.Output)
		rows += 2 + len(f.result.Output)/int(float64(m.cfg.RowBytes)*usableRowShare) + len(rec.checkpoints[f.item])
		if len(batch) > 0 && (size > commitBytes || rows > commitRows) {
			break
		}
		batch = append(batch, f)
		if isLarge(f.result.Output, m.cfg.RowBytes) {
			break
		}
	}
	if len(batch) == 0 {
		rec.isCommitting = false
	}
	return batch
}

// commit writes the results, appends their items to the job's record and deletes the items' checkpoints, all in one
// transaction. Items that have a result already are skipped.
func (m *Manager) commit(ctx context.Context, id string, batch []finishedItem) error {
	var encodeErr error
	err := m.writeTransition(ctx, id, func(j jobrecorder.Job) (storer.Change, jobrecorder.Job, bool) {
		items := make([]int, 0, len(batch))
		byItem := map[int]Result{}
		for _, f := range batch {
			items = append(items, f.item)
			byItem[f.item] = f.result
		}
		next, added := j.Append(items)
		c := storer.Change{}
		for n, item := range added {
			rows, err := m.resultRows(id, len(j.Finished)+n, item, byItem[item])
			if err != nil {
				encodeErr = err
				return c, j, false
			}
			c.Puts = append(c.Puts, rows...)
			c.Deletes = append(c.Deletes, m.checkpointRows(id, item)...)
		}
		// Checkpoints that are left over are deleted with the job.
		c.Deletes = c.Deletes[:min(len(c.Deletes), max(commitRows-len(c.Puts), 0))]
		return c, next, len(added) > 0
	})
	if err == nil {
		err = encodeErr
	}
	return err
}

// resultRows returns the rows of the item's result at the position.
func (m *Manager) resultRows(job string, position, item int, r Result) ([]storer.Entry, error) {
	if isLarge(r.Output, m.cfg.RowBytes) {
		return encodeLargeResult(job, position, r, outputObject(job, item))
	}
	return encodeResult(job, position, r, m.cfg.RowBytes)
}

// markWritten removes the batch from the front of the record's finished items and logs each result.
func (m *Manager) markWritten(job string, rec *record, batch []finishedItem) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.jobs[job] == rec {
		m.unwritten.Add(-outputBytes(rec.finished[:len(batch)]))
	}
	// Delete clears what it removes; the record would keep the outputs until its job is deleted.
	rec.finished = slices.Delete(rec.finished, 0, len(batch))
	for _, f := range batch {
		delete(rec.checkpoints, f.item)
		m.log.WithFields(logrus.Fields{
			"job": job, "item": f.result.ID, "state": f.result.State, "bytes": len(f.result.Output),
			"done": len(rec.job.Finished), "total": rec.job.Total(),
		}).Info("result listed")
	}
	m.notifyWaiters()
}

// checkpointRows returns the item's checkpoint rows that this VM has recorded, as entries to delete.
func (m *Manager) checkpointRows(job string, item int) []storer.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []storer.Entry
	if rec, ok := m.jobs[job]; ok {
		for _, key := range rec.checkpoints[item] {
			rows = append(rows, storer.Entry{Table: checkpointTable, Partition: partitionOf(job), Key: key})
		}
	}
	return rows
}
