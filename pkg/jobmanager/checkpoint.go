package jobmanager

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// Checkpoint is a part of an output of an unfinished item: the events after After, up to and including LastEvent.
type Checkpoint struct {
	Item      int   `json:"item"`
	After     int64 `json:"after"`
	LastEvent int64 `json:"lastEvent"`
	// OutputID identifies the output. Earlier builds identify a holder's work on the job instead, which may have had several
	// outputs of the item, at different software versions.
	OutputID string `json:"writer"`
	// Continues is the id of the output that this one was begun to go on with after event After. It is empty if the output began
	// with the first event, and on all but the first checkpoint of an output.
	Continues string `json:"continues,omitempty"`
	// Software is the software version that wrote the output; zero, as in the rows of earlier builds, if it is unknown.
	Software registrar.Software `json:"software,omitempty"`
	Output   []byte             `json:"-"`
	// version is that of the row.
	version int64
}

// checkpointKey sorts an item's checkpoints by their first event. The checkpoints of two outputs have different keys, so that
// neither replaces the other.
func checkpointKey(job string, c Checkpoint) string {
	return fmt.Sprintf("%s/%05d/%08d/%s", job, c.Item, c.After+1, c.OutputID)
}

// Save writes checkpoints of items of the job in as few transactions as the store's limits allow; it does nothing if the job is
// over. It returns how many of the list were written, those before the first one that was not.
func (m *Manager) Save(ctx context.Context, job string, list []Checkpoint) (int, error) {
	saved := 0
	for saved < len(list) && !m.IsOver(job) {
		c, err := m.newSave(job, list[saved:])
		if err != nil {
			return saved, err
		}
		// The keys are recorded before the write, since a write without an answer may have taken effect: the rows must be deleted
		// with the item's result.
		m.recordCheckpoints(job, c.Puts, list[saved:])
		if _, err := m.store.Apply(ctx, c); err != nil {
			return saved, err
		}
		saved += len(c.Puts)
	}
	return saved, nil
}

// newSave returns a transaction that writes the first checkpoints of the list, at least one.
func (m *Manager) newSave(job string, list []Checkpoint) (storer.Change, error) {
	c := storer.Change{}
	size := 0
	for _, point := range list {
		row, err := encodeCheckpoint(job, point)
		if err != nil {
			return c, err
		}
		isTooLarge := len(row.Value) > int(float64(m.cfg.RowBytes)*usableRowShare)
		size += len(row.Value)
		switch {
		case len(c.Puts) > 0 && (isTooLarge || size > commitBytes || len(c.Puts) >= commitRows):
			return c, nil
		case isTooLarge:
			return c, errors.Errorf("checkpoint of item %d of job %s with %d bytes exceeds a row of the store", point.Item, job, size)
		}
		c.Puts = append(c.Puts, row)
	}
	return c, nil
}

// checkpointHead is the head of a checkpoint's row.
type checkpointHead struct {
	Checkpoint
	// IsFirst lets earlier builds begin with the checkpoint. They would join the first one of an output that continues another
	// one to any that ends there, so they get none of these.
	IsFirst bool `json:"isFirst,omitempty"`
}

func encodeCheckpoint(job string, c Checkpoint) (storer.Entry, error) {
	value, err := prependHead(checkpointHead{Checkpoint: c, IsFirst: c.After == noEvent}, c.Output)
	return storer.Entry{
		Table: checkpointTable, Partition: partitionOf(job), Key: checkpointKey(job, c), Value: value,
	}, errors.Wrap(err, "encode checkpoint")
}

func decodeCheckpoint(e storer.Entry) (c Checkpoint, err error) {
	c.Output, err = splitHead(e, &c)
	c.version = e.Version
	return c, err
}

// recordCheckpoints records the keys of the rows, which commit deletes with the items' results; list begins with their
// checkpoints.
func (m *Manager) recordCheckpoints(job string, rows []storer.Entry, list []Checkpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec, ok := m.jobs[job]
	if !ok {
		return
	}
	for n, row := range rows {
		if item := list[n].Item; !slices.Contains(rec.checkpoints[item], row.Key) {
			rec.checkpoints[item] = append(rec.checkpoints[item], row.Key)
		}
	}
}

// Checkpoints returns what is saved of an output of each item of the job: the events from the first one on without a gap. Of
// several outputs, it takes the one that was begun last. All together have at most limit bytes, if that is not 0: what is saved
// of further items is left out.
func (m *Manager) Checkpoints(ctx context.Context, job string, limit int64) (map[int]Checkpoint, error) {
	saved, outputs, item := map[int]Checkpoint{}, savedOutputs{}, 0
	size, leftOut := int64(0), 0
	endItem := func() {
		c, ok := outputs.latest()
		outputs = savedOutputs{}
		if !ok {
			return
		}
		if limit > 0 && size+int64(len(c.Output)) > limit {
			leftOut++
			return
		}
		size += int64(len(c.Output))
		saved[item] = c
	}
	// The rows of an item follow each other, so that only those of a page and of one item are held.
	err := storer.ScanPages(ctx, m.store, rangeOf(checkpointTable, job), func(page storer.Page) {
		for _, e := range page.Entries {
			c, err := decodeCheckpoint(e)
			if err != nil {
				m.log.WithError(err).WithField("job", job).Warn("could not decode a checkpoint; skipping it")
				continue
			}
			m.recordCheckpoints(job, []storer.Entry{e}, []Checkpoint{c})
			if c.Item != item {
				endItem()
				item = c.Item
			}
			outputs.add(c)
		}
	})
	if err != nil {
		return nil, err
	}
	endItem()
	if leftOut > 0 {
		m.log.WithFields(logrus.Fields{"job": job, "items": leftOut, "bytes": size, "limit": limit}).
			Warn("no room for the saved outputs of all items; the rest begin anew")
	}
	return saved, nil
}

// savedOutputs holds the checkpoints of an item by output, each output's in the order of their events.
type savedOutputs map[string][]Checkpoint

// add adds a checkpoint; those of one output are added in the order of their events.
func (s savedOutputs) add(c Checkpoint) { s[c.OutputID] = append(s[c.OutputID], c) }

// latest returns the output that was begun last, of those that are saved from the first event on.
func (s savedOutputs) latest() (Checkpoint, bool) {
	ids := slices.SortedFunc(maps.Keys(s), func(a, b string) int {
		return cmp.Or(cmp.Compare(s[b][0].version, s[a][0].version), cmp.Compare(a, b))
	})
	for _, id := range ids {
		if c, ok := s.join(id, math.MaxInt64); ok {
			return c, true
		}
	}
	return Checkpoint{}, false
}

// join returns the output from the first event on without a gap, up to the event last, if it is saved from the first event on. An
// output that was begun to go on with another one begins with that one's events.
func (s savedOutputs) join(id string, last int64) (Checkpoint, bool) {
	if len(s[id]) == 0 {
		return Checkpoint{}, false
	}
	first := s[id][0]
	joined := Checkpoint{Item: first.Item, After: noEvent, LastEvent: noEvent, Software: first.Software}
	if first.After != noEvent {
		// Events of an output that continues this one are none of its own.
		base := s[first.Continues]
		if len(base) == 0 || base[0].After >= first.After {
			return Checkpoint{}, false
		}
		var ok bool
		joined, ok = s.join(first.Continues, first.After)
		if !ok || joined.LastEvent != first.After || joined.Software != first.Software {
			return Checkpoint{}, false
		}
	}
	joined.OutputID = id
	for _, c := range s[id] {
		if c.After == joined.LastEvent && c.LastEvent <= last && c.Software == joined.Software {
			joined.Output = append(joined.Output, c.Output...)
			joined.LastEvent = c.LastEvent
		}
	}
	return joined, true
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
