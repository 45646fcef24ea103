package watcher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// watchWait is the longest wait of one call. A connection that went silent is given up soon after it, within the
	// time after which the platform counts on a VM again.
	watchWait = 2800 * time.Millisecond
	// firstRetry and longestRetry bound the pause after a failed call.
	firstRetry   = 50 * time.Millisecond
	longestRetry = 400 * time.Millisecond
	// lostAfter is how many calls in a row must fail for the store to count as lost; one may be a reset connection.
	lostAfter = 2
)

// Update is what a feed hears: all rows of the table, or those that changed.
type Update struct {
	Entries []storer.Entry
	// Version is the store's version up to which the table is now known.
	Version int64
	// IsFull says that rows which are not in Entries do not exist.
	IsFull bool
	// AfterOutage says that the store could not be reached shortly before.
	AfterOutage bool
}

// Feed follows one table.
type Feed struct {
	store      storer.Table
	table      string
	partitions []string
	hear       func(Update)
	log        logrus.FieldLogger
	// gap spaces the calls of a table that changes often.
	gap time.Duration

	version  int64
	isSynced bool
	failed   int
	lostAt   time.Time

	isLost    atomic.Bool
	confirmed atomic.Int64
	known     atomic.Int64
}

// NewFeed returns a feed of the table's partitions that passes each update to hear.
func NewFeed(
	store storer.Table, table string, partitions []string, hear func(Update), log logrus.FieldLogger,
) *Feed {
	return &Feed{
		store: store, table: table, partitions: partitions, hear: hear,
		log: log.WithField("table", table),
	}
}

// SetGap spaces the calls of a table whose changes need not be known at once.
func (f *Feed) SetGap(gap time.Duration) { f.gap = gap }

// Version returns the store's version up to which the table is known; 0 before the first full read.
func (f *Feed) Version() int64 { return f.known.Load() }

// Age returns how long ago the store last answered.
func (f *Feed) Age(now time.Time) time.Duration {
	at := f.confirmed.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(time.Unix(0, at))
}

// Start follows the table until ctx ends.
func (f *Feed) Start(ctx context.Context) { go f.run(ctx) }

func (f *Feed) run(ctx context.Context) {
	pause := firstRetry
	for ctx.Err() == nil {
		if err := f.step(ctx); err == nil {
			pause = firstRetry
			if f.gap > 0 {
				pauser.Pause(ctx, f.gap)
			}
			continue
		}
		if !pauser.Pause(ctx, pause) {
			return
		}
		pause = min(2*pause, longestRetry)
	}
}

// IsLost says whether the store did not answer the feed's last calls.
func (f *Feed) IsLost() bool { return f.isLost.Load() }

func (f *Feed) step(ctx context.Context) error {
	if !f.isSynced {
		u, err := f.scan(ctx)
		return f.take(ctx, u, err)
	}
	page, err := f.store.Watch(ctx, f.table, f.version, watchWait)
	lost := (*storer.HistoryLostError)(nil)
	if errors.As(err, &lost) {
		f.log.WithField("after", f.version).Info("history lost, reading the table anew")
		f.isSynced = false
		return nil
	}
	return f.take(ctx, Update{Entries: page.Entries, Version: page.Version}, err)
}

func (f *Feed) scan(ctx context.Context) (Update, error) {
	u := Update{IsFull: true}
	for _, p := range f.partitions {
		entries, version, err := storer.ScanAll(ctx, f.store, storer.Range{Table: f.table, Partition: p})
		if err != nil {
			return u, err
		}
		u.Entries = append(u.Entries, entries...)
		if u.Version == 0 || version < u.Version {
			u.Version = version
		}
	}
	return u, nil
}

func (f *Feed) take(ctx context.Context, u Update, err error) error {
	if err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	now := time.Now()
	if err != nil {
		f.failed++
		f.isLost.Store(f.failed >= lostAfter)
		f.lostAt = now
		if f.failed == 1 {
			f.log.WithError(err).WithField("version", f.version).Warn("store lost")
		}
		return err
	}
	if f.failed > 0 {
		f.log.WithFields(logrus.Fields{"failures": f.failed, "version": u.Version}).Info("store regained")
		f.failed = 0
		f.isLost.Store(false)
	}
	f.confirmed.Store(now.UnixNano())
	f.isSynced = true
	u.AfterOutage = !f.lostAt.IsZero() && now.Sub(f.lostAt) < outageMemory
	if u.Version > f.version || u.IsFull {
		f.version = u.Version
	}
	if len(u.Entries) > 0 || u.IsFull {
		f.hear(u)
	}
	f.known.Store(f.version)
	return nil
}
