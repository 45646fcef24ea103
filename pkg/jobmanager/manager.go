package jobmanager

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/tracer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

// Config holds this VM's identity and the limits of stored jobs.
type Config struct {
	VM          string
	Incarnation int64
	// RowBytes is the largest size of a row's value in bytes.
	RowBytes int
	// KeepFor is how long after its submission a job that is over can be read.
	KeepFor time.Duration
	// Bodies reads the bodies of submissions; nil for no budget.
	Bodies *bodyreader.Reader
}

// Members provides the membership of the fleet.
type Members interface {
	// StateOf returns the state of an incarnation of a VM.
	StateOf(vm string, incarnation int64) gossiper.State
	// LiveVMs returns the VMs that are live.
	LiveVMs() []gossiper.VMIncarnation
	// VMsInTouch returns those of them that don't say that they are partitioned from the endpoints.
	VMsInTouch() []gossiper.VMIncarnation
	// HasStoreElsewhere reports whether another VM reaches the store.
	HasStoreElsewhere() bool
}

// Manager caches the records of all jobs on this VM and writes this VM's changes to the store.
type Manager struct {
	cfg      Config
	store    storer.Table
	codec    Codec
	registry func() *registrar.Registry
	members  Members
	log      logrus.FieldLogger
	feed     *watcher.Feed
	payloads *payloadCache
	// refusalLog bounds the log lines about bodies that are refused, by status.
	refusalLog *tracer.Sampler

	// unwritten counts the bytes of the results in the records' finished items.
	unwritten atomic.Int64

	mu   sync.Mutex
	jobs map[string]*record
	// routeCounts counts the cached jobs by the route that accepted them; routes lists these routes.
	routeCounts map[jobRoute]int
	routes      atomic.Pointer[[]jobRoute]
	// askedAt is the Unix time in nanoseconds of the last read that mayAsk allowed.
	askedAt atomic.Int64
	// admissions holds the admission rows of routes, and of accounts on routes, by their keys.
	admissions map[string]admission
	// nextChange is closed at the next change of a row, and then replaced.
	nextChange chan struct{}
	// changed receives a value after jobs changed, for the item runner.
	changed   chan struct{}
	isLeaving bool
	// isPartitioned says that this VM reaches no endpoint.
	isPartitioned bool
	// hasHandOver says that runHandOver was started.
	hasHandOver bool
	// adopting holds the ids of the jobs that are being taken over.
	adopting map[string]bool
	// handingOver holds the ids of the jobs that are being handed over.
	handingOver map[string]bool
}

// record is a job as last read from the store, and what this VM has yet to write.
type record struct {
	job     jobrecorder.Job
	version int64
	// seen is when this VM first learned of the job.
	seen time.Time
	// finished lists the items whose results are to be written.
	finished     []finishedItem
	isCommitting bool
	// checkpoints holds the keys of each item's checkpoint rows.
	checkpoints map[int][]string
	// hasNoAccount says that the store has no row with an account of the job.
	hasNoAccount bool
	// failures holds the total number of failed runs of each item of which this VM had one.
	failures         map[int]int
	isSavingFailures bool
}

type finishedItem struct {
	item   int
	result Result
}

// New returns a job manager, which watches no jobs until Start is called.
func New(
	cfg Config, store storer.Table, codec Codec, registry func() *registrar.Registry, members Members, log logrus.FieldLogger,
) *Manager {
	m := &Manager{
		cfg: cfg, store: store, codec: codec, registry: registry, members: members, log: log,
		payloads: newPayloadCache(), refusalLog: tracer.NewSampler(refusalLines),
		jobs: map[string]*record{}, admissions: map[string]admission{},
		nextChange: make(chan struct{}), changed: make(chan struct{}, 1), adopting: map[string]bool{},
		handingOver: map[string]bool{}, routeCounts: map[jobRoute]int{},
	}
	m.routes.Store(&[]jobRoute{})
	m.feed = watcher.NewFeed(store, jobTable, partitionNames(), m.applyUpdate, log)
	m.feed.SetGap(feedGap)
	return m
}

// Start watches the jobs, takes over those of lost VMs and deletes expired ones until ctx ends. It does not block.
func (m *Manager) Start(ctx context.Context) {
	m.feed.Start(ctx)
	go m.runAdopt(ctx)
	go m.runExpire(ctx)
}

// Changed returns a channel that receives a value after jobs changed; several changes may share one value.
func (m *Manager) Changed() <-chan struct{} { return m.changed }

func (m *Manager) self() jobrecorder.VMRef {
	return jobrecorder.VMRef{VM: m.cfg.VM, Incarnation: m.cfg.Incarnation}
}

// applyUpdate applies rows that were read from the store or written to it.
func (m *Manager) applyUpdate(u watcher.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range u.Entries {
		m.applyRow(e)
	}
	m.notifyWaiters()
}

// applyRow updates the cached job unless that has this version or a newer one; the caller holds the lock.
func (m *Manager) applyRow(e storer.Entry) {
	if strings.HasPrefix(e.Key, admissionPrefix) {
		m.applyAdmission(e)
		return
	}
	old, ok := m.jobs[e.Key]
	if ok && e.Version <= old.version {
		return
	}
	if e.IsRemoved {
		if ok {
			m.countRoute(old.job, -1)
			m.unwritten.Add(-outputBytes(old.finished))
		}
		delete(m.jobs, e.Key)
		m.payloads.drop(e.Key)
		return
	}
	j, err := decodeJob(e)
	if err != nil {
		m.log.WithError(err).WithField("row", e.Version).Error("could not decode the row of a batch job; ignoring it")
		return
	}
	if !ok {
		old = &record{seen: time.Now(), checkpoints: map[int][]string{}, failures: map[int]int{}}
		m.jobs[e.Key] = old
		m.countRoute(j, 1)
	}
	if j.Account == "" {
		// An earlier build that wrote the row dropped the account.
		j.Account = old.job.Account
	}
	old.job, old.version = j, e.Version
	if j.IsComplete() || (j.IsOver() && j.Holder != m.self()) {
		m.payloads.drop(e.Key)
	}
}

// notifyWaiters wakes the calls that wait for a change, and the item runner; the caller holds the lock.
func (m *Manager) notifyWaiters() {
	close(m.nextChange)
	m.nextChange = make(chan struct{})
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// KnownFor returns how long this VM has known the job, which is at most its age; 0 if the job is unknown. Clocks of VMs differ
// and may be set, so the time at which another VM accepted the job can't be compared with the time here.
func (m *Manager) KnownFor(job string, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.jobs[job]; ok {
		return now.Sub(r.seen)
	}
	return 0
}

// lookUp returns the cached job, and a channel that is closed at the next change of any job.
func (m *Manager) lookUp(id string) (jobrecorder.Job, bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.jobs[id]
	if !ok {
		return jobrecorder.Job{}, false, m.nextChange
	}
	return r.job, true, m.nextChange
}

// refresh reads the job's row from the store; false if the store has none.
func (m *Manager) refresh(ctx context.Context, id string) (jobrecorder.Job, bool, error) {
	page, err := m.store.Scan(ctx, storer.Range{
		Table: jobTable, Partition: partitionOf(id), From: id, To: id + "\x00", Limit: 1,
	})
	if err != nil {
		return jobrecorder.Job{}, false, err
	}
	if len(page.Entries) == 0 {
		return jobrecorder.Job{}, false, nil
	}
	m.applyUpdate(watcher.Update{Entries: page.Entries})
	j, ok, _ := m.lookUp(id)
	return j, ok, nil
}

// writeTransition writes a transition of the job by compare-and-swap, together with the failures that this VM counted. If
// another VM wrote the record first, it applies the transition to the newer record and tries again.
//
// transition returns false if there is nothing to write.
func (m *Manager) writeTransition(
	ctx context.Context, id string, transition func(jobrecorder.Job) (storer.Change, jobrecorder.Job, bool),
) error {
	for {
		m.mu.Lock()
		r, ok := m.jobs[id]
		if !ok {
			m.mu.Unlock()
			return &storer.NotFoundError{Name: "job " + id}
		}
		old, version := r.job, r.version
		m.mu.Unlock()
		c, next, isNeeded := transition(old)
		if !isNeeded {
			return nil
		}
		next, _ = next.RecordFailures(m.failuresOf(id))
		row, err := encodeJob(next)
		if err != nil {
			return err
		}
		expect := row
		expect.Value, expect.Version = nil, version
		c.Expect = append(c.Expect, expect)
		c.Puts = append([]storer.Entry{row}, c.Puts...)
		ver, err := m.store.Apply(ctx, c)
		if stale := asStale(err); stale != nil {
			m.applyUpdate(watcher.Update{Entries: stale.Current})
			if !m.hasNewer(id, version) {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		row.Version = ver
		m.applyUpdate(watcher.Update{Entries: []storer.Entry{row}})
		return nil
	}
}

// hasNewer reports whether the cached record has another version than this one, or is gone.
func (m *Manager) hasNewer(id string, version int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.jobs[id]
	return !ok || r.version != version
}

const (
	// retryPause is the pause before a write that the store refused or did not answer is retried, and the Retry-After of calls
	// that another VM can answer.
	retryPause = 150 * time.Millisecond
	// feedGap is the pause between calls of the watch feed, so that one call returns several changes: callers read twice a
	// second, and a job's end must be observed within seconds.
	feedGap = 500 * time.Millisecond
)
