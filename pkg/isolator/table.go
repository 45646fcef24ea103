package isolator

import (
	"context"
	"slices"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// retryPause is the pause after a failed write.
	retryPause = 200 * time.Millisecond
	// expireInterval is the time between two checks for expired parts.
	expireInterval = 30 * time.Second
	// maxRowsPerCall is the largest number of rows that one call writes.
	maxRowsPerCall = 50
)

// apply takes over the changes of the table.
func (i *Isolator) apply(u watcher.Update) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	listed := map[string]bool{}
	var strikes []quarantiner.Strike
	for _, e := range u.Entries {
		s, at, err := strikeOf(e)
		switch {
		case err != nil:
			i.log.WithError(err).Warn("row of the quarantine table can't be decoded; ignored")
		case e.IsRemoved:
			delete(i.rows, s.Part)
			i.quarantiner.Remove(s.Part)
			strikes = slices.DeleteFunc(strikes, func(o quarantiner.Strike) bool { return o.Part == s.Part })
		case now.Sub(at) > quarantiner.Time:
			if i.isOnDuty(s.Part) {
				i.addRow(s.Part, e)
				i.deleteRows(s.Part)
			}
		default:
			listed[s.Part] = true
			if i.rows[s.Part][e.Key] == nil {
				i.addRow(s.Part, e)
				strikes = append(strikes, s)
			}
		}
	}
	if u.IsFull {
		i.keepOnly(listed)
	}
	i.add(now, strikes)
}

// Rows returns the known rows of the table and those that wait for the store.
func (i *Isolator) Rows() []storer.Entry {
	i.mu.Lock()
	defer i.mu.Unlock()
	var entries []storer.Entry
	for _, rows := range i.rows {
		for key, value := range rows {
			entries = append(entries, storer.Entry{Table: Table, Key: key, Value: value})
		}
	}
	for key, value := range i.puts {
		entries = append(entries, storer.Entry{Table: Table, Key: key, Value: value})
	}
	return entries
}

// ApplyPeerRows records the strikes of the rows received from another VM.
func (i *Isolator) ApplyPeerRows(entries []storer.Entry) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	var strikes []quarantiner.Strike
	for _, e := range entries {
		if e.Table != Table {
			continue
		}
		s, at, err := strikeOf(e)
		if err == nil && now.Sub(at) <= quarantiner.Time && i.rows[s.Part][e.Key] == nil {
			i.addRow(s.Part, e)
			strikes = append(strikes, s)
		}
	}
	i.add(now, strikes)
}

// keepOnly drops the parts that are neither listed nor about to be written; the lock is held.
func (i *Isolator) keepOnly(listed map[string]bool) {
	for key := range i.puts {
		listed[partOf(key)] = true
	}
	for _, p := range i.quarantiner.Parts() {
		if !listed[p] {
			delete(i.rows, p)
			i.quarantiner.Remove(p)
		}
	}
}

// addRow keeps a row that is known to be in the table, or with a peer; the lock is held.
func (i *Isolator) addRow(part string, e storer.Entry) {
	if i.rows[part] == nil {
		i.rows[part] = map[string][]byte{}
	}
	i.rows[part][e.Key] = e.Value
}

// deleteRows deletes the rows of a part that is refuted or expired; the lock is held.
func (i *Isolator) deleteRows(part string) {
	for key := range i.puts {
		if partOf(key) == part {
			delete(i.puts, key)
		}
	}
	for key := range i.rows[part] {
		i.deletes[key] = true
	}
	delete(i.rows, part)
	if len(i.deletes) > 0 {
		i.log.WithField("part", part).Info("strikes against this part of a prompt dropped")
		i.notify()
	}
}

func (i *Isolator) runWrite(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.changed:
		}
		for i.write(ctx) {
			if !sleeper.Sleep(ctx, retryPause) {
				return
			}
		}
	}
}

// write writes the pending rows and reports whether some are left.
func (i *Isolator) write(ctx context.Context) bool {
	change := storer.Change{}
	i.mu.Lock()
	for key, value := range i.puts {
		if len(change.Puts) < maxRowsPerCall {
			change.Puts = append(change.Puts, storer.Entry{Table: Table, Key: key, Value: value})
		}
	}
	for key := range i.deletes {
		if len(change.Deletes) < maxRowsPerCall {
			change.Deletes = append(change.Deletes, storer.Entry{Table: Table, Key: key})
		}
	}
	i.mu.Unlock()
	if len(change.Puts)+len(change.Deletes) == 0 {
		return false
	}
	_, err := i.store.Apply(ctx, change)
	if err != nil {
		i.log.WithError(err).WithField("rows", len(change.Puts)+len(change.Deletes)).Warn("quarantine table not written; trying again")
		return true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, e := range change.Puts {
		delete(i.puts, e.Key)
	}
	for _, e := range change.Deletes {
		delete(i.deletes, e.Key)
	}
	return len(i.puts)+len(i.deletes) > 0
}

// runExpire drops expired parts; the VM on duty for a part deletes its rows.
func (i *Isolator) runExpire(ctx context.Context) {
	sleeper.Every(ctx, expireInterval, i.expire)
}

func (i *Isolator) expire(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, p := range i.quarantiner.Expired(now) {
		i.quarantiner.Remove(p)
		if i.isOnDuty(p) {
			i.deleteRows(p)
		}
		delete(i.rows, p)
	}
}
