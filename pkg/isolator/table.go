package isolator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// feedGap and writeGap are the pauses between two calls of the store, so that one call carries the rows of many requests.
	feedGap  = 100 * time.Millisecond
	writeGap = 100 * time.Millisecond
	// maxRefutationDelay bounds the wait before a part that is not quarantined is refuted in the store: of the VMs that complete
	// requests with it, the first one spares the others the write.
	maxRefutationDelay = time.Second
	// expireInterval is the time between two checks for expired rows.
	expireInterval = 30 * time.Second
	// maxRowsPerCall is the largest number of rows that one call writes.
	maxRowsPerCall = 50
)

// put is a row to write, not before due.
type put struct {
	value []byte
	due   time.Time
}

// putStrike has a strike written; the lock is held.
func (i *Isolator) putStrike(now time.Time, s quarantiner.Strike) {
	key, limit := strikeKey(s), maxPending
	if quarantiner.IsRequest(s.Part) {
		limit = maxPendingRequests
	}
	if len(i.puts) < limit && i.rows[key] == nil {
		i.puts[key] = put{value: strikeValueOf(s), due: now}
		i.notify()
	}
}

// putRefutation has a refutation written; the lock is held.
func (i *Isolator) putRefutation(now time.Time, r quarantiner.Refutation, wasQuarantined bool) {
	due := now
	if !wasQuarantined {
		due = now.Add(rand.N(maxRefutationDelay))
	}
	if r.Events > 0 {
		i.puts[outlivedKey(r.Part)] = put{value: outlivedValueOf(r), due: due}
	} else {
		i.puts[refutationKey(r.Part)] = put{value: valueOf(0, r.At), due: due}
	}
	i.notify()
}

// applyOutlived takes over the row of a request that went on; the lock is held.
func (i *Isolator) applyOutlived(now time.Time, e storer.Entry, r row) {
	i.rows[e.Key] = e.Value
	i.quarantiner.RefuteUpTo(now, quarantiner.Refutation{Part: r.Part, At: r.At, Events: r.Events})
	pending, err := decodeRow(storer.Entry{Key: e.Key, Value: i.puts[e.Key].value})
	if err == nil && !pending.At.After(r.At) && pending.Events <= r.Events {
		delete(i.puts, e.Key)
	}
}

// putProbe has the beginning of a probe written; the lock is held.
func (i *Isolator) putProbe(now time.Time, part string) {
	i.puts[probeKey(part)] = put{value: probeValueOf(now), due: now}
	i.notify()
}

// applyProbe takes over the row of a probe; the lock is held.
func (i *Isolator) applyProbe(now time.Time, e storer.Entry, r row) {
	i.rows[e.Key] = e.Value
	i.quarantiner.Probed(now, r.Part, r.At)
	pending, err := decodeRow(storer.Entry{Key: e.Key, Value: i.puts[e.Key].value})
	if err == nil && !pending.At.After(r.At) {
		delete(i.puts, e.Key)
	}
}

func (i *Isolator) notify() {
	select {
	case i.changed <- struct{}{}:
	default:
	}
}

// apply takes over the changes of the table.
func (i *Isolator) apply(u watcher.Update) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if u.IsFull {
		i.dropUnlisted(u.Entries)
	}
	i.applyRows(time.Now(), u.Entries)
}

// dropUnlisted drops the strikes of rows that are not in the table any more; the lock is held.
func (i *Isolator) dropUnlisted(entries []storer.Entry) {
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.Key] = true
	}
	for key := range i.rows {
		if !listed[key] {
			i.dropRow(key)
		}
	}
}

// dropRow drops a row and its strike, unless the strike waits to be written; the lock is held.
func (i *Isolator) dropRow(key string) {
	delete(i.rows, key)
	r, err := decodeRow(storer.Entry{Key: key, IsRemoved: true})
	if _, isPending := i.puts[key]; err == nil && r.isStrike() && !isPending {
		i.quarantiner.Drop(r.Part, r.Endpoint)
	}
}

// applyRows takes over rows in any order; the lock is held.
func (i *Isolator) applyRows(now time.Time, entries []storer.Entry) {
	var strikes []quarantiner.Strike
	for _, e := range entries {
		r, err := decodeRow(e)
		switch {
		case err != nil:
			i.log.WithError(err).Warn("row of the quarantine table can't be decoded; ignored")
		case e.IsRemoved:
			i.dropRow(e.Key)
		case now.Sub(r.At) > quarantiner.Duration:
			i.rows[e.Key] = e.Value
		case r.isProbe:
			i.applyProbe(now, e, r)
		case r.isOutlived:
			i.applyOutlived(now, e, r)
		case r.isRefutation:
			i.rows[e.Key] = e.Value
			i.quarantiner.Refute(now, r.Part, r.At)
			if !i.hasStrikeAfter(r.Part, r.At) {
				// It is as good as a pending one of this VM.
				delete(i.puts, e.Key)
			}
		case string(i.rows[e.Key]) != string(e.Value):
			i.rows[e.Key] = e.Value
			strikes = append(strikes, r.Strike)
		}
	}
	i.add(now, strikes)
}

// hasStrikeAfter reports whether a row that is known or waits for the store holds a strike against the part after the time; the
// lock is held.
func (i *Isolator) hasStrikeAfter(part string, at time.Time) bool {
	for key, value := range i.rows {
		if isStrikeAfter(key, value, part, at) {
			return true
		}
	}
	for key, p := range i.puts {
		if isStrikeAfter(key, p.value, part, at) {
			return true
		}
	}
	return false
}

func isStrikeAfter(key string, value []byte, part string, at time.Time) bool {
	r, err := decodeRow(storer.Entry{Key: key, Value: value})
	return err == nil && r.Part == part && r.isStrike() && r.At.After(at)
}

// Rows returns the known rows of the table and those that wait for the store.
func (i *Isolator) Rows() []storer.Entry {
	i.mu.Lock()
	defer i.mu.Unlock()
	var entries []storer.Entry
	for key, value := range i.rows {
		entries = append(entries, storer.Entry{Table: Table, Key: key, Value: value})
	}
	for key, p := range i.puts {
		entries = append(entries, storer.Entry{Table: Table, Key: key, Value: p.value})
	}
	return entries
}

// ApplyPeerRows takes over the rows received from another VM.
func (i *Isolator) ApplyPeerRows(entries []storer.Entry) {
	var own []storer.Entry
	for _, e := range entries {
		if e.Table == Table {
			own = append(own, e)
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.applyRows(time.Now(), own)
}

func (i *Isolator) runWrite(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.changed:
		}
		for i.write(ctx) {
			if !sleeper.Sleep(ctx, writeGap) {
				return
			}
		}
	}
}

// write writes the pending rows that are due, and reports whether some are left.
func (i *Isolator) write(ctx context.Context) bool {
	change := i.nextChange(time.Now())
	if n := len(change.Puts) + len(change.Deletes); n > 0 {
		if _, err := i.store.Apply(ctx, change); err != nil {
			i.log.WithError(err).WithField("rows", n).Warn("quarantine table not written; trying again")
			return true
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, e := range change.Puts {
		// A later refutation than the written one stays.
		if string(i.puts[e.Key].value) == string(e.Value) {
			delete(i.puts, e.Key)
			if i.rows[e.Key] == nil {
				i.rows[e.Key] = e.Value
			}
		}
	}
	for _, e := range change.Deletes {
		delete(i.deletes, e.Key)
	}
	return len(i.puts)+len(i.deletes) > 0
}

func (i *Isolator) nextChange(now time.Time) storer.Change {
	i.mu.Lock()
	defer i.mu.Unlock()
	change := storer.Change{}
	for key, p := range i.puts {
		if len(change.Puts) < maxRowsPerCall && !now.Before(p.due) {
			change.Puts = append(change.Puts, storer.Entry{Table: Table, Key: key, Value: p.value})
		}
	}
	for key := range i.deletes {
		if len(change.Deletes) < maxRowsPerCall {
			change.Deletes = append(change.Deletes, storer.Entry{Table: Table, Key: key})
		}
	}
	return change
}

// runExpire has expired rows deleted, by the VM of rank 0 for their part.
func (i *Isolator) runExpire(ctx context.Context) {
	sleeper.Every(ctx, expireInterval, i.expire)
}

func (i *Isolator) expire(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	clear(i.ranks)
	for key, value := range i.rows {
		r, err := decodeRow(storer.Entry{Key: key, Value: value})
		if err != nil || now.Sub(r.At) <= quarantiner.Duration {
			continue
		}
		if rank, vms := i.rank(r.Part); rank == 0 && vms > 0 {
			i.deletes[key] = true
			i.notify()
		}
	}
}
