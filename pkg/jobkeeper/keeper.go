package jobkeeper

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobber"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
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
}

// Members provides the membership of the fleet.
type Members interface {
	// StateOf returns the state of an incarnation of a VM.
	StateOf(vm string, incarnation int64) gossiper.State
	// LiveVMs returns the VMs that are live.
	LiveVMs() []gossiper.VM
	// HasStoreElsewhere reports whether another VM reaches the store.
	HasStoreElsewhere() bool
}

// Keeper is this VM's job manager: it caches the records of all jobs and writes this VM's changes to the store.
type Keeper struct {
	cfg      Config
	store    storer.Table
	codec    Codec
	registry func() *registrar.Registry
	members  Members
	log      logrus.FieldLogger
	feed     *watcher.Feed
	payloads *payloadCache

	mu   sync.Mutex
	jobs map[string]*record
	// admissions holds the admission row of each route by its key.
	admissions map[string]admission
	// nextChange is closed at the next change of a row, and then replaced.
	nextChange chan struct{}
	// changed notifies the worker of changes.
	changed   chan struct{}
	isLeaving bool
	// adopting holds the ids of the jobs that are being taken over.
	adopting map[string]bool
}

// record is a job as last read from the store, and what this VM has yet to write.
type record struct {
	job     jobber.Job
	version int64
	// finished lists the items whose results are to be written.
	finished     []finishedItem
	isCommitting bool
	// checkpoints holds the keys of each item's checkpoint rows.
	checkpoints map[int][]string
}

type finishedItem struct {
	item   int
	result Result
}

// New returns a job manager; Start starts it.
func New(
	cfg Config, store storer.Table, codec Codec, registry func() *registrar.Registry, m Members, log logrus.FieldLogger,
) *Keeper {
	k := &Keeper{
		cfg: cfg, store: store, codec: codec, registry: registry, members: m, log: log,
		payloads: newPayloadCache(), jobs: map[string]*record{}, admissions: map[string]admission{},
		nextChange: make(chan struct{}), changed: make(chan struct{}, 1), adopting: map[string]bool{},
	}
	k.feed = watcher.NewFeed(store, jobTable, partitionNames(), k.applyUpdate, log)
	k.feed.SetGap(feedGap)
	return k
}

// Start watches the jobs, takes over those of lost VMs and deletes expired ones until ctx ends. It does not block.
func (k *Keeper) Start(ctx context.Context) {
	k.feed.Start(ctx)
	go k.runAdopt(ctx)
	go k.runExpire(ctx)
}

// Changed returns a channel that receives a value after jobs changed; several changes may share one value.
func (k *Keeper) Changed() <-chan struct{} { return k.changed }

func (k *Keeper) self() jobber.VMRef {
	return jobber.VMRef{VM: k.cfg.VM, Incarnation: k.cfg.Incarnation}
}

// applyUpdate applies rows that were read from the store or written to it.
func (k *Keeper) applyUpdate(u watcher.Update) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range u.Entries {
		k.applyRow(e)
	}
	k.notifyWaiters()
}

// applyRow updates the cached job unless that has this version or a newer one; the caller holds the lock.
func (k *Keeper) applyRow(e storer.Entry) {
	if strings.HasPrefix(e.Key, admissionPrefix) {
		k.applyAdmission(e)
		return
	}
	old, ok := k.jobs[e.Key]
	if ok && e.Version <= old.version {
		return
	}
	if e.IsRemoved {
		delete(k.jobs, e.Key)
		k.payloads.drop(e.Key)
		return
	}
	j, err := decodeJob(e)
	if err != nil {
		k.log.WithError(err).WithField("row", e.Version).Error("could not decode the row of a batch job; ignoring it")
		return
	}
	if !ok {
		old = &record{checkpoints: map[int][]string{}}
		k.jobs[e.Key] = old
	}
	old.job, old.version = j, e.Version
	if j.IsComplete() || (j.IsOver() && j.Holder != k.self()) {
		k.payloads.drop(e.Key)
	}
}

// admission is the admission row of a route. Every acceptance of a job on the route updates it by compare-and-swap, so that
// concurrent acceptances on several VMs can't exceed the route's quota.
type admission struct {
	version int64
	// accepted is the sum of the tokens of all jobs that the route accepted, less those of deleted jobs.
	accepted int64
}

// admissionRow is the stored value of an admission.
type admissionRow struct {
	Accepted int64 `json:"accepted"`
}

// applyAdmission updates the cached admission row unless that has this version or a newer one; the caller holds the lock.
func (k *Keeper) applyAdmission(e storer.Entry) {
	if e.Version <= k.admissions[e.Key].version {
		return
	}
	row := admissionRow{}
	if err := json.Unmarshal(e.Value, &row); err != nil {
		k.log.WithError(err).WithField("row", e.Key).Error("could not decode the admission row of a route; ignoring it")
		return
	}
	k.admissions[e.Key] = admission{version: e.Version, accepted: row.Accepted}
}

// notifyWaiters wakes the calls that wait for a change, and the worker; the caller holds the lock.
func (k *Keeper) notifyWaiters() {
	close(k.nextChange)
	k.nextChange = make(chan struct{})
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// lookUp returns the cached job, and a channel that is closed at the next change of any job.
func (k *Keeper) lookUp(id string) (jobber.Job, bool, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.jobs[id]
	if !ok {
		return jobber.Job{}, false, k.nextChange
	}
	return r.job, true, k.nextChange
}

// refresh reads the job's row from the store; false if the store has none.
func (k *Keeper) refresh(ctx context.Context, id string) (jobber.Job, bool, error) {
	page, err := k.store.Scan(ctx, storer.Range{
		Table: jobTable, Partition: partitionOf(id), From: id, To: id + "\x00", Limit: 1,
	})
	if err != nil {
		return jobber.Job{}, false, err
	}
	if len(page.Entries) == 0 {
		return jobber.Job{}, false, nil
	}
	k.applyUpdate(watcher.Update{Entries: page.Entries})
	j, ok, _ := k.lookUp(id)
	return j, ok, nil
}

// writeTransition writes a transition of the job by compare-and-swap. If another VM wrote the record first, it applies the
// transition to the newer record and tries again.
//
// transition returns false if there is nothing to write.
func (k *Keeper) writeTransition(
	ctx context.Context, id string, transition func(jobber.Job) (storer.Change, jobber.Job, bool),
) error {
	for {
		k.mu.Lock()
		r, ok := k.jobs[id]
		if !ok {
			k.mu.Unlock()
			return &storer.NotFoundError{Name: "job " + id}
		}
		old, version := r.job, r.version
		k.mu.Unlock()
		c, next, isNeeded := transition(old)
		if !isNeeded {
			return nil
		}
		row, err := encodeJob(next)
		if err != nil {
			return err
		}
		expect := row
		expect.Value, expect.Version = nil, version
		c.Expect = append(c.Expect, expect)
		c.Puts = append([]storer.Entry{row}, c.Puts...)
		ver, err := k.store.Apply(ctx, c)
		if stale := asStale(err); stale != nil {
			k.applyUpdate(watcher.Update{Entries: stale.Current})
			if !k.hasNewer(id, version) {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		row.Version = ver
		k.applyUpdate(watcher.Update{Entries: []storer.Entry{row}})
		return nil
	}
}

// hasNewer reports whether the cached record has another version than this one, or is gone.
func (k *Keeper) hasNewer(id string, version int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.jobs[id]
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
