package jobmanager

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// jobRoute identifies a route that accepted cached jobs.
type jobRoute struct{ host, pathPrefix string }

// countRoute adds n to the number of cached jobs that the job's route accepted; the caller holds the lock.
func (m *Manager) countRoute(j jobrecorder.Job, n int) {
	key := jobRoute{host: j.Host, pathPrefix: j.PathPrefix}
	before := m.routeCounts[key]
	m.routeCounts[key] += n
	if m.routeCounts[key] <= 0 {
		delete(m.routeCounts, key)
	}
	if before == 0 || m.routeCounts[key] == 0 {
		routes := make([]jobRoute, 0, len(m.routeCounts))
		for r := range m.routeCounts {
			routes = append(routes, r)
		}
		m.routes.Store(&routes)
	}
}

// hasJobsOf reports whether a route that accepted cached jobs has the host and a prefix of the path.
func (m *Manager) hasJobsOf(host string, hasPrefix func(prefix string) bool) bool {
	for _, r := range *m.routes.Load() {
		if r.host == host && hasPrefix(r.pathPrefix) {
			return true
		}
	}
	return false
}

// HandlerOf returns what serves a request about a job: a call, or the submission of a job that was accepted before by a route
// that the path no longer matches. It returns nil for all other requests.
func (m *Manager) HandlerOf(r *http.Request, cfg *registrar.Config) http.HandlerFunc {
	call, ok, err := m.codec.Call(r)
	if !ok {
		return m.handlerOfRepeat(r)
	}
	owner := m.callFacts(r, call.jobID(), cfg).Owner()
	if owner == jobrecorder.OwnerInStore && !m.mayAsk(time.Now()) {
		owner = jobrecorder.OwnerUnknown
	}
	switch owner {
	case jobrecorder.OwnedByJob, jobrecorder.OwnerInStore:
		return func(w http.ResponseWriter, r *http.Request) { m.serveCall(w, r, call, err) }
	case jobrecorder.OwnerUnknown:
		return func(w http.ResponseWriter, _ *http.Request) { m.failCall(w, call.jobID(), false, errNotCurrent) }
	default:
		return nil
	}
}

const (
	// currentFor is how long after an answer of the store the cached jobs count as all: callers expect a job to be known at all
	// VMs by then.
	currentFor = time.Second
	// askInterval is the least time between two reads of jobs for requests that may be none about a job.
	askInterval = 100 * time.Millisecond
)

// mayAsk reports whether the store may be read for a request that is likely none about a job.
func (m *Manager) mayAsk(now time.Time) bool {
	last := m.askedAt.Load()
	return now.UnixNano()-last >= int64(askInterval) && m.askedAt.CompareAndSwap(last, now.UnixNano())
}

// errNotCurrent reports that this VM doesn't know all jobs.
var errNotCurrent = errors.New("the jobs in the store are not known at present")

func (m *Manager) callFacts(r *http.Request, id string, cfg *registrar.Config) jobrecorder.CallFacts {
	host := strings.ToLower(r.Host)
	job, isCached, _ := m.lookUp(id)
	_, hasRoute := cfg.Match(r.Host, r.URL.Path)
	_, hasOwnRoute := cfg.Route(host, r.URL.Path[:strings.LastIndexByte(r.URL.Path, '/')+1])
	return jobrecorder.CallFacts{
		IsJobCached: isCached && job.Host == host, HasBatchRoute: len(cfg.BatchRoutes(r.Host)) > 0,
		HasJobs:  m.hasJobsOf(host, func(string) bool { return true }),
		HasRoute: hasRoute, HasOwnRoute: hasOwnRoute,
		IsSynced: m.feed.Version() > 0, IsFollowing: !m.feed.IsLost(), IsCurrent: m.feed.Age(time.Now()) < currentFor,
	}
}

// handlerOfRepeat returns what answers the repeated submission of a cached job; nil if the request is not one.
func (m *Manager) handlerOfRepeat(r *http.Request) http.HandlerFunc {
	host := strings.ToLower(r.Host)
	if r.Method != http.MethodPost || !m.hasJobsOf(host, func(prefix string) bool { return strings.HasPrefix(r.URL.Path, prefix) }) {
		return nil
	}
	job, ok, _ := m.lookUp(m.codec.JobID(r))
	if !ok || job.Host != host || !strings.HasPrefix(r.URL.Path, job.PathPrefix) {
		return nil
	}
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		_, lease, err := m.cfg.Bodies.Read(w, r, m.registry().Config.Limits.BodyBytes)
		if err != nil {
			m.refuseBody(w, job.ID, err)
			return
		}
		lease.Close()
		status, err := m.statusOfRepeat(r.Context(), job.ID)
		m.answerSubmit(w, job, status, err, start)
	}
}
