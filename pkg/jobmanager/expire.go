package jobmanager

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// expireEvery is the longest interval at which a VM looks for expired jobs.
	expireEvery = 10 * time.Second
	// KeepMargin is to be added to the time for which jobs are kept, for reads that are under way.
	KeepMargin = 60 * time.Second
	// maxDropRows is the number of rows that one transaction can delete.
	maxDropRows = 100
)

// runExpire deletes jobs that are over and that this VM has known for KeepFor.
func (m *Manager) runExpire(ctx context.Context) {
	sleeper.Every(ctx, min(expireEvery, m.cfg.KeepFor), func(now time.Time) {
		for _, j := range m.expired(now) {
			if err := m.expire(ctx, j); err != nil {
				m.log.WithError(err).WithField("job", j.ID).Warn("could not delete an expired batch job; trying again")
			}
		}
	})
}

// expired returns the expired jobs that this VM is to delete: all VMs choose the same VM for a job.
func (m *Manager) expired(now time.Time) []jobrecorder.Job {
	live := m.members.LiveVMs()
	m.mu.Lock()
	defer m.mu.Unlock()
	var jobs []jobrecorder.Job
	for id, r := range m.jobs {
		if !r.job.IsOver() || now.Sub(r.seen) < m.cfg.KeepFor {
			continue
		}
		if vm, ok := gossiper.Assign(id, live); ok && vm.Name == m.cfg.VM {
			jobs = append(jobs, r.job)
		}
	}
	return jobs
}

// expire deletes the job's rows and its object, the job's own row last, so that a deletion that failed half-way is retried.
func (m *Manager) expire(ctx context.Context, j jobrecorder.Job) error {
	for _, table := range []string{resultTable, checkpointTable, itemTable} {
		if err := m.dropRange(ctx, table, j.ID); err != nil {
			return err
		}
	}
	if j.ItemRows == 0 {
		if err := m.store.DeleteBlob(ctx, blobName(j.ID)); err != nil {
			return err
		}
	}
	return m.dropJob(ctx, j)
}

func (m *Manager) dropRange(ctx context.Context, table, job string) error {
	for {
		r := rangeOf(table, job)
		r.Limit = maxDropRows
		page, err := m.store.Scan(ctx, r)
		if err != nil || len(page.Entries) == 0 {
			return err
		}
		if err := m.dropOutputs(ctx, page.Entries); err != nil {
			return err
		}
		if _, err := m.store.Apply(ctx, storer.Change{Deletes: page.Entries}); err != nil {
			return err
		}
	}
}

// dropOutputs deletes the objects with the outputs of the results among the rows.
func (m *Manager) dropOutputs(ctx context.Context, rows []storer.Entry) error {
	for _, e := range rows {
		head := resultHead{}
		if e.Table != resultTable || !strings.HasSuffix(e.Key, firstRowSuffix) {
			continue
		}
		if _, err := splitHead(e, &head); err != nil || head.Object == "" {
			continue
		}
		if err := m.store.DeleteBlob(ctx, head.Object); err != nil {
			return err
		}
	}
	return nil
}

// dropJob deletes the job's row and subtracts its tokens from the accepted ones of the route. The number of waiting tokens
// does not change, since the job's items count as finished.
func (m *Manager) dropJob(ctx context.Context, j jobrecorder.Job) error {
	key := admissionKey(j.Host, j.PathPrefix)
	m.mu.Lock()
	r, ok := m.jobs[j.ID]
	known := m.admissions[key]
	m.mu.Unlock()
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
	ver, err := m.store.Apply(ctx, storer.Change{
		Expect: []storer.Entry{row, expected}, Puts: []storer.Entry{updated}, Deletes: []storer.Entry{row},
		IsCrossPartition: expected.Partition != row.Partition,
	})
	if stale := asStale(err); stale != nil {
		m.applyUpdate(watcher.Update{Entries: stale.Current})
	}
	if err != nil {
		return err
	}
	row.IsRemoved, row.Version, updated.Version = true, ver, ver
	m.applyUpdate(watcher.Update{Entries: []storer.Entry{row, updated}})
	m.log.WithField("job", j.ID).Info("deleted an expired batch job")
	return nil
}
