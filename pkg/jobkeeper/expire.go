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
	// expireEvery is the longest interval at which a VM looks for expired jobs.
	expireEvery = 10 * time.Second
	// ClockMargin is to be added to the time for which jobs are kept, since wall clocks differ between VMs and may jump.
	ClockMargin = 60 * time.Second
	// maxDropRows is the number of rows that one transaction can delete.
	maxDropRows = 100
)

// runExpire deletes jobs that are over and were submitted more than KeepFor ago.
func (k *Keeper) runExpire(ctx context.Context) {
	pauser.Every(ctx, min(expireEvery, k.cfg.KeepFor), func(now time.Time) {
		for _, j := range k.expired(now) {
			if err := k.expire(ctx, j); err != nil {
				k.log.WithError(err).WithField("job", j.ID).Warn("could not delete an expired batch job; trying again")
			}
		}
	})
}

// expired returns the expired jobs that this VM is to delete: all VMs choose the same VM for a job.
func (k *Keeper) expired(now time.Time) []jobber.Job {
	live := k.members.LiveVMs()
	k.mu.Lock()
	defer k.mu.Unlock()
	var jobs []jobber.Job
	for id, r := range k.jobs {
		if !r.job.IsOver() || now.Before(time.UnixMilli(r.job.Submitted).Add(k.cfg.KeepFor)) {
			continue
		}
		if vm, ok := gossiper.Choose(id, live); ok && vm.Name == k.cfg.VM {
			jobs = append(jobs, r.job)
		}
	}
	return jobs
}

// expire deletes the job's rows and its object, the job's own row last, so that a deletion that failed half-way is retried.
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
		r.Limit = maxDropRows
		page, err := k.store.Scan(ctx, r)
		if err != nil || len(page.Entries) == 0 {
			return err
		}
		if _, err := k.store.Apply(ctx, storer.Change{Drops: page.Entries}); err != nil {
			return err
		}
	}
}

// dropJob deletes the job's row and subtracts its tokens from the accepted ones of the route. The number of waiting tokens
// does not change, since the job's items count as finished.
func (k *Keeper) dropJob(ctx context.Context, j jobber.Job) error {
	key := admissionKey(j.Host, j.PathPrefix)
	k.mu.Lock()
	r, ok := k.jobs[j.ID]
	known := k.admissions[key]
	k.mu.Unlock()
	if !ok {
		return nil
	}
	row := storer.Entry{Table: jobTable, Partition: partitionOf(j.ID), Key: j.ID, Version: r.version}
	expected := storer.Entry{Table: jobTable, Partition: partitionOf(key), Key: key, Version: known.version}
	updated := expected
	value, err := json.Marshal(admissionRow{Accepted: known.accepted - j.AllTokens()})
	if err != nil {
		return errors.Wrap(err, "encode route's row")
	}
	updated.Value = value
	ver, err := k.store.Apply(ctx, storer.Change{
		Expect: []storer.Entry{row, expected}, Puts: []storer.Entry{updated}, Drops: []storer.Entry{row},
		IsAcross: expected.Partition != row.Partition,
	})
	if stale := asStale(err); stale != nil {
		k.applyUpdate(watcher.Update{Entries: stale.Current})
	}
	if err != nil {
		return err
	}
	row.IsRemoved, row.Version, updated.Version = true, ver, ver
	k.applyUpdate(watcher.Update{Entries: []storer.Entry{row, updated}})
	k.log.WithField("job", j.ID).Info("deleted an expired batch job")
	return nil
}
