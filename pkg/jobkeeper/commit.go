package jobkeeper

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobber"
	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// commitBytes and commitRows keep a transaction under the store's 1 MB, encoded, and 100 entries.
	commitBytes = 500 << 10
	commitRows  = 80
)

// Finish hands over an item at its end; it is written as soon as the store takes it.
func (k *Keeper) Finish(ctx context.Context, job string, item int, r Result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	rec, ok := k.jobs[job]
	if !ok {
		return
	}
	rec.finished = append(rec.finished, finished{item: item, result: r})
	if !rec.isCommitting {
		rec.isCommitting = true
		go k.runCommit(ctx, job)
	}
}

// IsFinished says whether the item's end is known here, though it may not be written yet.
func (k *Keeper) IsFinished(job string, item int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	rec, ok := k.jobs[job]
	if !ok || rec.job.IsDone(item) {
		return true
	}
	return slices.ContainsFunc(rec.finished, func(f finished) bool { return f.item == item })
}

// runCommit writes the job's finished items until none is left.
func (k *Keeper) runCommit(ctx context.Context, job string) {
	for {
		batch := k.nextBatch(job)
		if len(batch) == 0 {
			return
		}
		err := k.commit(ctx, job, batch)
		if err == nil {
			k.written(job, batch)
			continue
		}
		k.log.WithError(err).WithFields(logrus.Fields{"job": job, "items": len(batch)}).Warn("results not written yet")
		if !pauser.Pause(ctx, retryPause) {
			return
		}
	}
}

func (k *Keeper) nextBatch(job string) []finished {
	k.mu.Lock()
	defer k.mu.Unlock()
	rec, ok := k.jobs[job]
	if !ok {
		return nil
	}
	var batch []finished
	size, rows := 0, 0
	for _, f := range rec.finished {
		size += len(f.result.Output)
		rows += 2 + len(f.result.Output)/int(float64(k.cfg.RowBytes)*encodedShare) + len(rec.checkpoints[f.item])
		if len(batch) > 0 && (size > commitBytes || rows > commitRows) {
			break
		}
		batch = append(batch, f)
	}
	if len(batch) == 0 {
		rec.isCommitting = false
	}
	return batch
}

func (k *Keeper) commit(ctx context.Context, id string, batch []finished) error {
	var encodeErr error
	err := k.change(ctx, id, func(j jobber.Job) (storer.Change, jobber.Job, bool) {
		items := make([]int, 0, len(batch))
		byItem := map[int]Result{}
		for _, f := range batch {
			items = append(items, f.item)
			byItem[f.item] = f.result
		}
		next, taken := j.Append(items)
		c := storer.Change{}
		for n, item := range taken {
			rows, err := encodeResult(id, len(j.Order)+n, byItem[item], k.cfg.RowBytes)
			if err != nil {
				encodeErr = err
				return c, j, false
			}
			c.Puts = append(c.Puts, rows...)
			c.Drops = append(c.Drops, k.checkpointRows(id, item)...)
		}
		return c, next, len(taken) > 0
	})
	if err == nil {
		err = encodeErr
	}
	return err
}

func (k *Keeper) written(job string, batch []finished) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if rec, ok := k.jobs[job]; ok {
		rec.finished = rec.finished[len(batch):]
		for _, f := range batch {
			delete(rec.checkpoints, f.item)
			k.log.WithFields(logrus.Fields{
				"job": job, "item": f.result.ID, "state": f.result.State, "bytes": len(f.result.Output),
				"done": len(rec.job.Order), "total": rec.job.Total(),
			}).Info("result listed")
		}
	}
	k.announce()
}

// checkpointRows returns the rows of checkpoints that this VM knows of the item.
func (k *Keeper) checkpointRows(job string, item int) []storer.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	var rows []storer.Entry
	if rec, ok := k.jobs[job]; ok {
		for _, key := range rec.checkpoints[item] {
			rows = append(rows, storer.Entry{Table: checkpointTable, Partition: partitionOf(job), Key: key})
		}
	}
	return rows
}
