package jobkeeper

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// Checkpoint is output of an item that is not at its end: what was added since the checkpoint before.
type Checkpoint struct {
	Item int `json:"item"`
	// LastEvent is the id of the last event in Output.
	LastEvent int64  `json:"lastEvent"`
	Output    []byte `json:"-"`
}

// Save writes the next checkpoint of each item.
func (k *Keeper) Save(ctx context.Context, job string, list []Checkpoint) error {
	k.mu.Lock()
	rec, ok := k.jobs[job]
	if !ok || rec.job.IsOver() {
		k.mu.Unlock()
		return nil
	}
	numbers := make([]int, len(list))
	for n, c := range list {
		numbers[n] = rec.checkpoints[c.Item]
	}
	k.mu.Unlock()
	c := storer.Change{}
	size := 0
	for n, point := range list {
		head, err := json.Marshal(point)
		if err != nil {
			return errors.Wrap(err, "encode checkpoint")
		}
		value := append(append(head, '\n'), point.Output...)
		if size += len(value); len(value) > int(float64(k.cfg.RowBytes)*encodedShare) || size > commitBytes || n >= commitRows {
			break
		}
		c.Puts = append(c.Puts, storer.Entry{
			Table: checkpointTable, Partition: partitionOf(job), Key: checkpointKey(job, point.Item, numbers[n]), Value: value,
		})
	}
	if len(c.Puts) < len(list) {
		return errors.Errorf("checkpoints of job %s are too large: %d bytes", job, size)
	}
	if _, err := k.store.Apply(ctx, c); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if rec, ok := k.jobs[job]; ok {
		for n, point := range list {
			rec.checkpoints[point.Item] = numbers[n] + 1
		}
	}
	return nil
}

// Checkpoints returns what is saved of the job's items.
func (k *Keeper) Checkpoints(ctx context.Context, job string) (map[int]Checkpoint, error) {
	saved := map[int]Checkpoint{}
	counts := map[int]int{}
	from := job + "/"
	for {
		page, err := k.store.Scan(ctx, storer.Range{
			Table: checkpointTable, Partition: partitionOf(job), From: from, To: job + "0", Limit: scanLimit,
		})
		if err != nil {
			return nil, err
		}
		for _, e := range page.Entries {
			if err := addCheckpoint(saved, counts, e); err != nil {
				k.log.WithError(err).WithField("job", job).Warn("checkpoint can't be read")
			}
		}
		if !page.HasMore || len(page.Entries) == 0 {
			break
		}
		from = page.Entries[len(page.Entries)-1].Key + "\x00"
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if rec, ok := k.jobs[job]; ok {
		for item, n := range counts {
			rec.checkpoints[item] = max(rec.checkpoints[item], n)
		}
	}
	return saved, nil
}

// addCheckpoint joins a row to the rows before it; one that doesn't follow them is left out.
func addCheckpoint(saved map[int]Checkpoint, counts map[int]int, e storer.Entry) error {
	parts := strings.Split(e.Key, "/")
	head, output, ok := bytes.Cut(e.Value, []byte("\n"))
	c := Checkpoint{}
	if !ok || len(parts) != 3 {
		return errors.Errorf("checkpoint row %s has no head", e.Key)
	}
	if err := json.Unmarshal(head, &c); err != nil {
		return errors.Wrap(err, "checkpoint row "+e.Key)
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n != counts[c.Item] {
		return errors.Errorf("checkpoint row %s is not the next of %d", e.Key, counts[c.Item])
	}
	counts[c.Item]++
	c.Output = append(saved[c.Item].Output, output...)
	saved[c.Item] = c
	return nil
}

// ConfigOf returns the version of the configuration that allowed the job.
func (k *Keeper) ConfigOf(job string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r, ok := k.jobs[job]; ok {
		return r.job.Config
	}
	return 0
}

// IsUnwritten says whether the item's end is not in the store yet.
func (k *Keeper) IsUnwritten(job string, item int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.jobs[job]
	return ok && !r.job.IsOver() && !r.job.IsDone(item)
}
