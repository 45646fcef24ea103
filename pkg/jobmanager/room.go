package jobmanager

import (
	"context"
	"encoding/json"
	"iter"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/admitter"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// admission is the admission row of a route, or of an account on a route. Every acceptance of a job updates its rows by
// compare-and-swap, so that concurrent acceptances on several VMs can't exceed the quota.
type admission struct {
	version int64
	// accepted is the sum of the tokens of all jobs that the route accepted, less those of deleted jobs. It is not used in the row
	// of an account: earlier builds don't update that one when they delete a job.
	accepted int64
	// jobs lists the last jobs that were accepted for the account.
	jobs []jobrecorder.ListedJob
}

// admissionRow is the stored value of an admission.
type admissionRow struct {
	Accepted int64                   `json:"accepted"`
	Jobs     []jobrecorder.ListedJob `json:"jobs,omitempty"`
}

// applyAdmission updates the cached admission row unless that has this version or a newer one; the caller holds the lock.
func (m *Manager) applyAdmission(e storer.Entry) {
	if e.Version <= m.admissions[e.Key].version {
		return
	}
	row := admissionRow{}
	if err := json.Unmarshal(e.Value, &row); err != nil {
		m.log.WithError(err).WithField("row", e.Key).Error("could not decode the admission row of a route; ignoring it")
		return
	}
	m.admissions[e.Key] = admission{version: e.Version, accepted: row.Accepted, jobs: row.Jobs}
}

// room is what is known of the quota that a job counts for.
type room struct {
	route, account admission
	// waiting is the number of tokens that wait without the job.
	waiting int64
}

// roomFor returns the cached admission rows for the job, and whether its quota has room for its tokens.
//
// The rows and the jobs are read under one lock. The transaction expects the rows' versions, so it fails if other tokens were
// accepted since they were counted.
func (m *Manager) roomFor(job jobrecorder.Job, route registrar.Route) (room, bool) {
	hasAccounts := m.hasAccounts()
	m.mu.Lock()
	defer m.mu.Unlock()
	known := room{route: m.admissions[admissionKey(route.Host, route.PathPrefix)]}
	if job.Account != "" {
		known.account = m.admissions[accountKeyOf(route.Host, route.PathPrefix, job.Account)]
	}
	if route.WaitingTokens <= 0 {
		return known, true
	}
	if job.Account != "" {
		known.waiting = m.roomOf(known, job).Waiting(m.cachedJobs())
	} else {
		known.waiting = m.waitingOnRoute(known.route, route, hasAccounts)
	}
	return known, known.waiting+job.AllTokens() <= route.WaitingTokens
}

// waitingOnRoute returns the waiting tokens of a route's jobs: all accepted ones, less those of items that are observed as
// finished. If the configuration has accounts, the jobs of accounts count for these instead; the caller holds the lock.
func (m *Manager) waitingOnRoute(known admission, route registrar.Route, hasAccounts bool) int64 {
	waiting := known.accepted
	for _, r := range m.jobs {
		if r.job.Host != route.Host || r.job.PathPrefix != route.PathPrefix {
			continue
		}
		waiting -= r.job.AllTokens()
		if !hasAccounts || r.job.Account == "" {
			waiting += r.job.WaitingTokens()
		}
	}
	return waiting
}

// roomOf returns the room of the job's account; the caller holds the lock.
func (m *Manager) roomOf(known room, job jobrecorder.Job) jobrecorder.Room {
	return jobrecorder.Room{
		Host: job.Host, PathPrefix: job.PathPrefix, Account: job.Account,
		List: known.account.jobs, IsListRead: m.feed.Version() >= known.account.version,
	}
}

// cachedJobs yields the cached jobs; the caller holds the lock.
func (m *Manager) cachedJobs() iter.Seq[jobrecorder.Job] {
	return func(yield func(jobrecorder.Job) bool) {
		for _, r := range m.jobs {
			if !yield(r.job) {
				return
			}
		}
	}
}

// countersWith returns the admission rows with the job added; Version is the one that the stored row must have. An account has a
// row only on routes with a quota.
func (m *Manager) countersWith(known room, job jobrecorder.Job, route registrar.Route) ([]storer.Entry, error) {
	key := admissionKey(route.Host, route.PathPrefix)
	rows := []storer.Entry{{Table: jobTable, Partition: partitionOf(key), Key: key, Version: known.route.version}}
	values := []admissionRow{{Accepted: known.route.accepted + job.AllTokens()}}
	if job.Account != "" && route.WaitingTokens > 0 {
		rows = append(rows, storer.Entry{
			Table: jobTable, Partition: partitionOf(key), Key: accountKeyOf(route.Host, route.PathPrefix, job.Account),
			Version: known.account.version,
		})
		m.mu.Lock()
		values = append(values, admissionRow{Jobs: m.roomOf(known, job).Add(job, m.cachedJobs())})
		m.mu.Unlock()
	}
	for i := range rows {
		var err error
		if rows[i].Value, err = json.Marshal(values[i]); err != nil {
			return nil, errors.Wrap(err, "encode admission row")
		}
	}
	return rows, nil
}

// logNoRoom logs and counts the refusal of an account's job.
func (m *Manager) logNoRoom(ctx context.Context, job jobrecorder.Job, route registrar.Route, known room) {
	if adm := admitter.FromContext(ctx); adm != nil && adm.IsGuarded() {
		adm.RefuseTokens(admitter.TokenRoom{
			Route: route.Name, Cap: route.WaitingTokens, Waiting: known.waiting, Tokens: job.AllTokens(), RetryAfter: quotaRetryAfter,
		})
	}
}
