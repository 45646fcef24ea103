package jobmanager

import (
	"context"
	"net/http"

	"github.com/dogwoodledge/dogwoodledge/pkg/admitter"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// AccountOf returns the name of the account that submitted the cached job; empty if it has none.
//
// It reads the store if the configuration has accounts and the job's row names none: an earlier build may have dropped it.
func (m *Manager) AccountOf(ctx context.Context, id string) (string, error) {
	job, ok, _ := m.lookUp(id)
	if !ok || job.Account != "" || !m.hasAccounts() || m.hasNoAccount(id) {
		return job.Account, nil
	}
	key := id + accountSuffix
	page, err := readWithRetry(func() (storer.Page, error) {
		return m.store.Scan(ctx, storer.Range{
			Table: resultTable, Partition: partitionOf(id), From: key, To: key + "\x00", Limit: 1,
		})
	})
	if err != nil {
		return "", err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.jobs[id]
	if !ok {
		return "", nil
	}
	if len(page.Entries) == 0 {
		r.hasNoAccount = true
		return "", nil
	}
	r.job.Account = string(page.Entries[0].Value)
	return r.job.Account, nil
}

// hasAccounts reports whether the configuration has accounts.
func (m *Manager) hasAccounts() bool {
	r := m.registry()
	return r != nil && r.Config.HasAccounts()
}

func (m *Manager) hasNoAccount(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.jobs[id]
	return ok && r.hasNoAccount
}

// isOwner reports whether the caller, as admitted in ctx, may know of the cached job. A job without an account belongs to all
// callers with a known key, and to all callers if its route is public.
func (m *Manager) isOwner(ctx context.Context, job jobrecorder.Job) (bool, error) {
	adm := admitter.FromContext(ctx)
	if adm == nil || !adm.IsGuarded() {
		return true, nil
	}
	owner, err := m.AccountOf(ctx, job.ID)
	if err != nil {
		return false, err
	}
	account, hasAccount := adm.Account()
	switch {
	case owner != "":
		return hasAccount && account.Name == owner, nil
	case hasAccount:
		return true, nil
	default:
		route, ok := m.registry().Config.Route(job.Host, job.PathPrefix)
		return ok && route.IsPublic, nil
	}
}

// isKnownTo reports whether the job exists for the caller of a call. It is true for all callers while there are no accounts.
func (m *Manager) isKnownTo(ctx context.Context, id string) (bool, error) {
	if adm := admitter.FromContext(ctx); adm == nil || !adm.IsGuarded() {
		return true, nil
	}
	job, ok, _ := m.lookUp(id)
	if !ok {
		var err error
		if job, ok, err = m.refreshWithRetry(ctx, id); err != nil || !ok {
			return false, err
		}
	}
	return m.isOwner(ctx, job)
}

// statusOfRepeat returns the status of a submission with the id of a cached job: it was accepted before, unless it is another
// account's job.
func (m *Manager) statusOfRepeat(ctx context.Context, id string) (int, error) {
	job, ok, _ := m.lookUp(id)
	if !ok {
		return http.StatusAccepted, nil
	}
	isOwner, err := m.isOwner(ctx, job)
	switch {
	case err != nil:
		return http.StatusServiceUnavailable, err
	case !isOwner:
		return http.StatusConflict, nil
	default:
		return http.StatusAccepted, nil
	}
}

// recheck decides again whether the caller of a submission may submit; nil if so.
func recheck(ctx context.Context, route registrar.Route) *admitter.Refusal {
	if adm := admitter.FromContext(ctx); adm != nil {
		return adm.Recheck(route)
	}
	return nil
}
