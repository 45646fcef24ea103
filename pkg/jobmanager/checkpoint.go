package jobmanager

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// Checkpoint is a part of the output of an unfinished item: the events after After, up to and including LastEvent.
type Checkpoint struct {
	Item      int   `json:"item"`
	After     int64 `json:"after"`
	LastEvent int64 `json:"lastEvent"`
	// Writer identifies one holder's work on the job. IsFirstOfWriter marks its first checkpoint of the item: the run was
	// started to continue after event After, so its output follows what other writers saved up to there.
	Writer          string `json:"writer"`
	IsFirstOfWriter bool   `json:"isFirst,omitempty"`
	// Software is the software version that wrote the output; zero, as in the rows of earlier builds, if it is unknown.
	Software registrar.Software `json:"software,omitempty"`
	Output   []byte             `json:"-"`
}

// checkpointKey sorts an item's checkpoints by their first event, also if several writers save without coordination.
func checkpointKey(job string, item int, after int64) string {
	return fmt.Sprintf("%s/%05d/%08d", job, item, after+1)
}

// Save writes checkpoints of items of the job in one transaction; it does nothing if the job is over.
func (m *Manager) Save(ctx context.Context, job string, list []Checkpoint) error {
	if m.IsOver(job) {
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
		if len(row.Value) > int(float64(m.cfg.RowBytes)*usableRowShare) || size > commitBytes || len(c.Puts) >= commitRows {
			return errors.Errorf("checkpoints of job %s exceed a limit of the store for rows or transactions after %d bytes", job, size)
		}
		c.Puts = append(c.Puts, row)
	}
	// The keys are recorded before the write, since a write without an answer may have taken effect: the rows must be deleted
	// with the item's result.
	m.recordCheckpoints(job, c.Puts, list)
	_, err := m.store.Apply(ctx, c)
	return err
}

func encodeCheckpoint(job string, c Checkpoint) (storer.Entry, error) {
	value, err := prependHead(c, c.Output)
	return storer.Entry{
		Table: checkpointTable, Partition: partitionOf(job), Key: checkpointKey(job, c.Item, c.After), Value: value,
	}, errors.Wrap(err, "encode checkpoint")
}

func decodeCheckpoint(e storer.Entry) (c Checkpoint, err error) {
	c.Output, err = splitHead(e, &c)
	return c, err
}

// recordCheckpoints records the keys of the rows, which commit deletes with the item's result.
func (m *Manager) recordCheckpoints(job string, rows []storer.Entry, list []Checkpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec, ok := m.jobs[job]
	if !ok {
		return
	}
	for n, c := range list {
		if !slices.Contains(rec.checkpoints[c.Item], rows[n].Key) {
			rec.checkpoints[c.Item] = append(rec.checkpoints[c.Item], rows[n].Key)
		}
	}
}

// Checkpoints returns the saved output of each item of the job: the events from the first one on without a gap.
func (m *Manager) Checkpoints(ctx context.Context, job string) (map[int]Checkpoint, error) {
	rows, _, err := storer.ScanAll(ctx, m.store, rangeOf(checkpointTable, job))
	if err != nil {
		return nil, err
	}
	saved := map[int]Checkpoint{}
	for _, e := range rows {
		c, err := decodeCheckpoint(e)
		if err != nil {
			m.log.WithError(err).WithField("job", job).Warn("could not decode a checkpoint; skipping it")
			continue
		}
		m.recordCheckpoints(job, []storer.Entry{e}, []Checkpoint{c})
		joinCheckpoint(saved, c)
	}
	return saved, nil
}

// joinCheckpoint appends a checkpoint to the item's output if it starts where that ends, and is by the same writer or the first
// of a new one: a run's events may follow those of another run only if it was started to continue there, at an endpoint of the
// same software version.
func joinCheckpoint(saved map[int]Checkpoint, c Checkpoint) {
	old, ok := saved[c.Item]
	if !ok {
		old = Checkpoint{Item: c.Item, After: noEvent, LastEvent: noEvent}
	}
	if c.After != old.LastEvent || (c.Writer != old.Writer && !c.IsFirstOfWriter) || (ok && c.Software != old.Software) {
		return
	}
	old.Output = append(old.Output, c.Output...)
	old.LastEvent, old.Writer, old.Software = c.LastEvent, c.Writer, c.Software
	saved[c.Item] = old
}

// noEvent is the number of the last event before a stream has any.
const noEvent = -1

// ConfigOf returns the version of the configuration under which the job was accepted; 0 if the job is unknown.
func (m *Manager) ConfigOf(job string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.jobs[job]; ok {
		return r.job.ConfigVersion
	}
	return 0
}

// IsUnwritten reports whether the item's result is still to be written to the store.
func (m *Manager) IsUnwritten(job string, item int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.jobs[job]
	return ok && !r.job.IsOver() && !r.job.IsDone(item)
}
