package jobkeeper

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobber"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// expireEvery is how often jobs that are no longer read are looked for.
	expireEvery = 10 * time.Second
	// ClockMargin is to be added to the time for which jobs are kept: wall clocks differ between VMs, and may jump.
	ClockMargin = 60 * time.Second
	dropRows    = 100
)

// runExpire drops jobs that are over and were submitted longer ago than callers may read them.
func (k *Keeper) runExpire(ctx context.Context) {
	pauser.Every(ctx, min(expireEvery, k.cfg.KeepFor), func(now time.Time) {
		for _, j := range k.expired(now) {
			if err := k.expire(ctx, j); err != nil {
				k.log.WithError(err).WithField("job", j.ID).Warn("old job not dropped yet")
			}
		}
	})
}

// expired returns the old jobs that fall to this VM.
func (k *Keeper) expired(now time.Time) []jobber.Job {
	live := k.members.LiveVMs()
	k.mu.Lock()
	defer k.mu.Unlock()
	var old []jobber.Job
	for id, r := range k.jobs {
		if !r.job.IsOver() || now.Before(time.UnixMilli(r.job.Submitted).Add(k.cfg.KeepFor)) {
			continue
		}
		if vm, ok := gossiper.Choose(id, live); ok && vm.Name == k.cfg.VM {
			old = append(old, r.job)
		}
	}
	return old
}

// expire drops the job's rows, its own last, so that what is left after a failure is found again.
func (k *Keeper) expire(ctx context.Context, j jobber.Job) error {
	for _, table := range []string{resultTable, checkpointTable, itemTable} {
		if err := k.dropRange(ctx, table, j.ID); err != nil {
			return err
		}
	}
	if j.ItemRows == 0 {
		if err := k.store.DropBlob(ctx, blobName(j.ID)); err != nil {
			return err
		}
	}
	return k.dropJob(ctx, j)
}

func (k *Keeper) dropRange(ctx context.Context, table, job string) error {
	for {
		r := rangeOf(table, job)
		r.Limit = dropRows
		page, err := k.store.Scan(ctx, r)
		if err != nil || len(page.Entries) == 0 {
			return err
		}
		if _, err := k.store.Apply(ctx, storer.Change{Drops: page.Entries}); err != nil {
			return err
		}
	}
}

// dropJob drops the job's row and takes its tokens off the route's sum, of which they are a finished part.
func (k *Keeper) dropJob(ctx context.Context, j jobber.Job) error {
	key := gateKey(j.Host, j.PathPrefix)
	k.mu.Lock()
	r, ok := k.jobs[j.ID]
	known := k.gates[key]
	k.mu.Unlock()
	if !ok {
		return nil
	}
	row := storer.Entry{Table: jobTable, Partition: partitionOf(j.ID), Key: j.ID, Version: r.version}
	gate := storer.Entry{Table: jobTable, Partition: partitionOf(key), Key: key, Version: known.version}
	next := gate
	value, err := json.Marshal(gateRow{Accepted: known.accepted - j.AllTokens()})
	if err != nil {
		return errors.Wrap(err, "encode route's row")
	}
	next.Value = value
	ver, err := k.store.Apply(ctx, storer.Change{
		Expect: []storer.Entry{row, gate}, Puts: []storer.Entry{next}, Drops: []storer.Entry{row},
		IsAcross: gate.Partition != row.Partition,
	})
	if stale := asStale(err); stale != nil {
		k.hear(watcher.Update{Entries: stale.Current})
	}
	if err != nil {
		return err
	}
	row.IsRemoved, row.Version, next.Version = true, ver, ver
	k.hear(watcher.Update{Entries: []storer.Entry{row, next}})
	k.log.WithField("job", j.ID).Info("old job dropped")
	return nil
}
