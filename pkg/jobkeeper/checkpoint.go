package jobkeeper

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// Checkpoint is output of an item that is not at its end: the events behind After up to LastEvent.
type Checkpoint struct {
	Item      int   `json:"item"`
	After     int64 `json:"after"`
	LastEvent int64 `json:"lastEvent"`
	// Writer names one holder's work on the job; IsFirst says that its first run went on behind After, so that the output
	// follows what others saved up to there.
	Writer  string `json:"writer"`
	IsFirst bool   `json:"isFirst,omitempty"`
	Output  []byte `json:"-"`
}

// checkpointKey orders an item's checkpoints by their events; writers that don't know of each other can't break the order.
func checkpointKey(job string, item int, after int64) string {
	return fmt.Sprintf("%s/%05d/%08d", job, item, after+1)
}

// Save writes a further checkpoint of each item.
func (k *Keeper) Save(ctx context.Context, job string, list []Checkpoint) error {
	if k.IsOver(job) {
		return nil
	}
	c := storer.Change{}
	size := 0
	for _, point := range list {
		row, err := encodeCheckpoint(job, point)
		if err != nil {
			return err
		}
		size += len(row.Value)
		if len(row.Value) > int(float64(k.cfg.RowBytes)*encodedShare) || size > commitBytes || len(c.Puts) >= commitRows {
			return errors.Errorf("checkpoints of job %s are too large: %d bytes", job, size)
		}
		c.Puts = append(c.Puts, row)
	}
	// The rows are known before they are written, for a write without an answer may still be done.
	k.noteCheckpoints(job, c.Puts, list)
	_, err := k.store.Apply(ctx, c)
	return err
}

func encodeCheckpoint(job string, c Checkpoint) (storer.Entry, error) {
	value, err := withHead(c, c.Output)
	return storer.Entry{
		Table: checkpointTable, Partition: partitionOf(job), Key: checkpointKey(job, c.Item, c.After), Value: value,
	}, errors.Wrap(err, "encode checkpoint")
}

func decodeCheckpoint(e storer.Entry) (c Checkpoint, err error) {
	c.Output, err = cutHead(e, &c)
	return c, err
}

func (k *Keeper) noteCheckpoints(job string, rows []storer.Entry, list []Checkpoint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	rec, ok := k.jobs[job]
	if !ok {
		return
	}
	for n, c := range list {
		if !slices.Contains(rec.checkpoints[c.Item], rows[n].Key) {
			rec.checkpoints[c.Item] = append(rec.checkpoints[c.Item], rows[n].Key)
		}
	}
}

// Checkpoints returns what is saved of the job's items: of each, the events that follow one another without a gap.
func (k *Keeper) Checkpoints(ctx context.Context, job string) (map[int]Checkpoint, error) {
	rows, _, err := storer.ScanAll(ctx, k.store, rangeOf(checkpointTable, job))
	if err != nil {
		return nil, err
	}
	saved := map[int]Checkpoint{}
	for _, e := range rows {
		c, err := decodeCheckpoint(e)
		if err != nil {
			k.log.WithError(err).WithField("job", job).Warn("checkpoint can't be read")
			continue
		}
		k.noteCheckpoints(job, []storer.Entry{e}, []Checkpoint{c})
		joinCheckpoint(saved, c)
	}
	return saved, nil
}

// joinCheckpoint appends a checkpoint to the item's output when it begins where that ends, and in the same work or a new one:
// an event must not follow one of another run unless its run was asked to go on there.
func joinCheckpoint(saved map[int]Checkpoint, c Checkpoint) {
	old, ok := saved[c.Item]
	if !ok {
		old = Checkpoint{Item: c.Item, After: noEvent, LastEvent: noEvent}
	}
	if c.After != old.LastEvent || (c.Writer != old.Writer && !c.IsFirst) {
		return
	}
	old.Output = append(old.Output, c.Output...)
	old.LastEvent, old.Writer = c.LastEvent, c.Writer
	saved[c.Item] = old
}

// noEvent stands before the first event of a stream.
const noEvent = -1

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
