package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/clocker"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/authenticator"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// watchTimeout is the maximum wait of one watch call. A call on a dead connection is abandoned soon after it, so that a VM
	// that was cut off has current rows again before the platform expects it to serve.
	watchTimeout = 2800 * time.Millisecond
	// minRetryPause and maxRetryPause limit the pause after a failed call, which doubles with each failure.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// probeTimeout is the wait of the first watch after a failed call: its answer tells when the store is back.
	probeTimeout = time.Millisecond
	// lostThreshold is the number of consecutive failed calls at which the store counts as lost; a single one may be due to a
	// reset connection.
	lostThreshold = 2
)

// Update holds the rows that a feed received: all rows of the table, or those that changed.
type Update struct {
	Entries []storer.Entry
	// Version is the store's version up to which all changes of the table are received.
	Version int64
	// IsFull says that Entries holds all rows of the table: any other row does not exist. Changes before it may have been missed.
	IsFull bool
	// IsFromPeer says that another VM passed the rows on.
	IsFromPeer bool
	// StoreBackAt is the time at which the store first answered again after the last failed call; it is zero if none failed.
	StoreBackAt time.Time
}

// Feed follows one table.
type Feed struct {
	store      storer.Table
	table      string
	partitions []string
	onUpdate   func(Update)
	log        logrus.FieldLogger
	// gap is the pause between two calls, for a table that changes often.
	gap time.Duration
	// now returns the time since boot; maxWatch bounds the wait of a watch, 0 if it doesn't.
	now      func() time.Duration
	maxWatch func() time.Duration

	// historyLosses counts the watches in a row whose history was lost.
	historyLosses int

	// mu is held while an update is passed on, so that updates arrive in the order of the versions.
	mu       sync.Mutex
	version  int64
	isSynced bool
	failures int
	backAt   time.Time
	// freshness is how new the rows are; asOf is its time, 0 if it has none.
	freshness authenticator.Freshness
	asOf      atomic.Int64

	refreshes refreshes

	isLost       atomic.Bool
	lastAnswerAt atomic.Int64
	knownVersion atomic.Int64
}

// NewFeed returns a feed of the table's partitions that passes each update to onUpdate.
func NewFeed(
	store storer.Table, table string, partitions []string, onUpdate func(Update), log logrus.FieldLogger,
) *Feed {
	return &Feed{
		store: store, table: table, partitions: partitions, onUpdate: onUpdate,
		log: log.WithField("table", table),
		now: clocker.Now, maxWatch: func() time.Duration { return 0 },
	}
}

// SetMaxWatch sets the function that bounds the wait of each watch, unless it returns 0; call it before Start.
func (f *Feed) SetMaxWatch(limit func() time.Duration) { f.maxWatch = limit }

// SetClock sets the function that returns the time since boot; call it before Start.
func (f *Feed) SetClock(now func() time.Duration) { f.now = now }

// AsOf returns the time since boot as of which all changes of the table are received, as the store's answers to watches prove
// it; false if none has.
func (f *Feed) AsOf() (time.Duration, bool) {
	asOf := f.asOf.Load()
	return time.Duration(asOf), asOf != 0
}

// watch calls the store's watch. The function that it returns records how new the rows are; it is to be called with the lock
// held once the page's rows are passed on.
func (f *Feed) watch(
	ctx context.Context, store storer.Table, version int64, wait time.Duration,
) (storer.Page, func(), error) {
	sentAt := f.now()
	page, err := store.Watch(ctx, f.table, version, wait)
	if err != nil || page.HasMore {
		return page, func() {}, err
	}
	return page, f.observer(sentAt, f.now(), page), nil
}

// observer returns a function that records how new the rows are once a page, which completes them, is passed on.
func (f *Feed) observer(sentAt, receivedAt time.Duration, page storer.Page) func() {
	return func() {
		if age, ok := page.Age.Get(); ok {
			f.freshness.ObserveAge(sentAt, age)
		} else {
			f.freshness.Observe(sentAt, receivedAt, page.Clock)
		}
		asOf, _ := f.freshness.AsOf()
		f.asOf.Store(int64(asOf))
	}
}

// watchWait returns the wait of the next watch; the lock is held.
func (f *Feed) watchWait() time.Duration {
	limit := f.maxWatch()
	if f.failures > 0 || limit > 0 && f.freshness.IsProbeDue(f.now()) {
		return probeTimeout
	}
	if limit > 0 {
		return min(limit, watchTimeout)
	}
	return watchTimeout
}

// SetGap sets the pause between two calls, for a table whose changes need not be received at once; call it before Start.
func (f *Feed) SetGap(gap time.Duration) { f.gap = gap }

// Version returns the store's version up to which all changes of the table are received; 0 before the first full read.
func (f *Feed) Version() int64 { return f.knownVersion.Load() }

// Age returns the time since the store last answered, or the maximum duration if it never did.
func (f *Feed) Age(now time.Time) time.Duration {
	at := f.lastAnswerAt.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(time.Unix(0, at))
}

// Start follows the table until ctx ends.
func (f *Feed) Start(ctx context.Context) { go f.run(ctx) }

func (f *Feed) run(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		if err := f.step(ctx); err == nil {
			if f.historyLosses == 0 {
				pause = minRetryPause
			}
			if f.gap > 0 {
				sleeper.Sleep(ctx, f.gap)
			}
			continue
		}
		// VMs that fail together don't retry together.
		if !sleeper.Sleep(ctx, pause/2+rand.N(pause/2)) {
			return
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// Advance makes the feed go on after the version, all earlier changes of which are known from elsewhere or no longer matter.
func (f *Feed) Advance(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isSynced && version > f.version {
		f.version = version
		f.knownVersion.Store(version)
	}
}

// IsLost reports whether the feed's last calls to the store failed.
func (f *Feed) IsLost() bool { return f.isLost.Load() }

// step reads the whole table, or waits for its next changes once it has been read.
func (f *Feed) step(ctx context.Context) error {
	f.mu.Lock()
	version, isSynced := f.version, f.isSynced
	wait := time.Duration(0)
	if isSynced {
		wait = f.watchWait()
	}
	f.mu.Unlock()
	if !isSynced {
		u, observe, err := f.scan(ctx, f.store)
		return f.handleResult(ctx, u, observe, err)
	}
	page, observe, err := f.watch(ctx, f.store, version, wait)
	lost := (*storer.HistoryLostError)(nil)
	if errors.As(err, &lost) {
		f.handleLostHistory(version)
		if f.historyLosses++; f.historyLosses > 1 {
			// The store is behind with reads, or drops its history faster than it is read: run pauses.
			return err
		}
		return nil
	}
	if err == nil {
		f.historyLosses = 0
	}
	return f.handleResult(ctx, updateOf(page), observe, err)
}

func (f *Feed) handleLostHistory(version int64) {
	f.log.WithField("after", version).Info("store no longer has the changes after this version; reading the whole table")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isSynced = false
}

// scan reads all partitions; the update has the lowest of their versions, so that no change is missed. The function that it
// returns records how new the rows are, if they were read at one moment.
func (f *Feed) scan(ctx context.Context, store storer.Table) (Update, func(), error) {
	u, observe := Update{IsFull: true}, func() {}
	for n, p := range f.partitions {
		isFirst, sentAt := n == 0, f.now()
		err := storer.ScanPages(ctx, store, storer.Range{Table: f.table, Partition: p}, func(page storer.Page) {
			u.Entries = append(u.Entries, page.Entries...)
			if _, isFromPeer := page.Age.Get(); isFromPeer {
				u.IsFromPeer = true
			}
			if isFirst && len(f.partitions) == 1 && !page.HasMore {
				observe = f.observer(sentAt, f.now(), page)
			}
			if isFirst || page.Version < u.Version {
				u.Version, isFirst = page.Version, false
			}
		})
		if err != nil {
			return u, func() {}, err
		}
	}
	return u, observe, nil
}

// updateOf returns the update of a page of changes.
func updateOf(page storer.Page) Update {
	_, isFromPeer := page.Age.Get()
	return Update{Entries: page.Entries, Version: page.Version, IsFromPeer: isFromPeer}
}

// handleResult passes on the update of a successful call and then calls observe, or records the failure and returns err.
func (f *Feed) handleResult(ctx context.Context, u Update, observe func(), err error) error {
	if err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.failures++
		f.isLost.Store(f.failures >= lostThreshold)
		if f.failures == 1 {
			f.log.WithError(err).WithField("version", f.version).Warn("store lost")
		}
		return err
	}
	f.apply(u)
	observe()
	return nil
}

// apply passes on an update; the lock is held.
func (f *Feed) apply(u Update) {
	now := time.Now()
	if f.failures > 0 {
		f.log.WithFields(logrus.Fields{"failures": f.failures, "version": u.Version}).Info("store regained")
		f.failures, f.backAt = 0, now
		f.isLost.Store(false)
	}
	f.lastAnswerAt.Store(now.UnixNano())
	f.isSynced = true
	u.StoreBackAt = f.backAt
	if u.Version > f.version || u.IsFull {
		f.version = u.Version
	}
	if len(u.Entries) > 0 || u.IsFull {
		f.onUpdate(u)
	}
	f.knownVersion.Store(f.version)
}
