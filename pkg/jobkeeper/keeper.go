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

// Config is who this VM is and what a row may hold.
type Config struct {
	VM          string
	Incarnation int64
	RowBytes    int
	// KeepFor is how long after its submission a job that is over can be read.
	KeepFor time.Duration
}

// Members tells which VMs can be counted on.
type Members interface {
	StateOf(vm string, incarnation int64) gossiper.State
	LiveVMs() []gossiper.VM
	// HasStoreElsewhere says whether another VM reaches the store.
	HasStoreElsewhere() bool
}

// Keeper holds what this VM knows of all jobs.
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
	// gates holds each route's row that orders acceptances.
	gates map[string]gate
	// news is closed and replaced at each change.
	news chan struct{}
	// changed tells the worker of changes.
	changed   chan struct{}
	isLeaving bool
	adopting  map[string]bool
}

// record is a job as last seen in the store, and what this VM has yet to write to it.
type record struct {
	job     jobber.Job
	version int64
	// finished waits to be appended.
	finished     []finished
	isCommitting bool
	// checkpoints holds the keys of the checkpoint rows of each item.
	checkpoints map[int][]string
}

type finished struct {
	item   int
	result Result
}

// New returns a keeper.
func New(
	cfg Config, store storer.Table, codec Codec, registry func() *registrar.Registry, m Members, log logrus.FieldLogger,
) *Keeper {
	k := &Keeper{
		cfg: cfg, store: store, codec: codec, registry: registry, members: m, log: log,
		payloads: newPayloadCache(), jobs: map[string]*record{}, gates: map[string]gate{},
		news: make(chan struct{}), changed: make(chan struct{}, 1), adopting: map[string]bool{},
	}
	k.feed = watcher.NewFeed(store, jobTable, partitionNames(), k.hear, log)
	k.feed.SetGap(feedGap)
	return k
}

// Start follows the jobs until ctx ends.
func (k *Keeper) Start(ctx context.Context) {
	k.feed.Start(ctx)
	go k.runAdopt(ctx)
	go k.runExpire(ctx)
}

// Changed signals that some job changed.
func (k *Keeper) Changed() <-chan struct{} { return k.changed }

func (k *Keeper) self() jobber.VMRef {
	return jobber.VMRef{VM: k.cfg.VM, Incarnation: k.cfg.Incarnation}
}

func (k *Keeper) hear(u watcher.Update) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range u.Entries {
		k.take(e)
	}
	k.announce()
}

// take takes over a row unless a newer one is known; the lock is held.
func (k *Keeper) take(e storer.Entry) {
	if strings.HasPrefix(e.Key, gatePrefix) {
		k.takeGate(e)
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
		k.log.WithError(err).WithField("row", e.Version).Error("job's row can't be read")
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

// gate is a route's row that orders acceptances.
type gate struct {
	version int64
	// accepted is the sum of the tokens of all jobs ever taken in on the route.
	accepted int64
}

type gateRow struct {
	Accepted int64 `json:"accepted"`
}

// takeGate takes over a route's row unless a newer one is known; the lock is held.
func (k *Keeper) takeGate(e storer.Entry) {
	if e.Version <= k.gates[e.Key].version {
		return
	}
	row := gateRow{}
	if err := json.Unmarshal(e.Value, &row); err != nil {
		k.log.WithError(err).WithField("row", e.Key).Error("route's row can't be read")
		return
	}
	k.gates[e.Key] = gate{version: e.Version, accepted: row.Accepted}
}

// announce wakes all who wait for a change; the lock is held.
func (k *Keeper) announce() {
	close(k.news)
	k.news = make(chan struct{})
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// lookUp returns the job as last seen, and a channel that closes at the next change.
func (k *Keeper) lookUp(id string) (jobber.Job, bool, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.jobs[id]
	if !ok {
		return jobber.Job{}, false, k.news
	}
	return r.job, true, k.news
}

// refresh reads the job's row from the store; false says that there is none.
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
	k.hear(watcher.Update{Entries: page.Entries})
	j, ok, _ := k.lookUp(id)
	return j, ok, nil
}

// change writes a transition of the job, and once more from the newer record when another VM was faster.
//
// transition returns false when nothing is to be written.
func (k *Keeper) change(
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
			k.hear(watcher.Update{Entries: stale.Current})
			if !k.hasMoved(id, version) {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		row.Version = ver
		k.hear(watcher.Update{Entries: []storer.Entry{row}})
		return nil
	}
}

// hasMoved says whether a newer record than that of the version is known.
func (k *Keeper) hasMoved(id string, version int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.jobs[id]
	return !ok || r.version != version
}

const (
	// retryPause spaces writes that the store refused or did not answer.
	retryPause = 150 * time.Millisecond
	// feedGap gathers the changes of jobs: callers read twice a second, and an end must be known within seconds.
	feedGap = 500 * time.Millisecond
)
