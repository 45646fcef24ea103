package watcher

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watchdog"
)

const (
	// refreshTimeout bounds the wait for the beginning of an answer, for callers that wait; it leaves room for a slow store.
	refreshTimeout = 300 * time.Millisecond
	// refreshLimit bounds a read, so that a large answer is not ended midway and sent anew for the next caller.
	refreshLimit = 2 * time.Second
)

// refreshes are the reads of a feed for callers that wait: one at a time, for all that were waiting when it began.
type refreshes struct {
	mu        sync.Mutex
	next      *refresh
	isRunning bool
}

type refresh struct {
	done chan struct{}
	err  error
}

// Refresh passes on all changes that the store acknowledged before the call, without waiting for the feed's own calls.
func (f *Feed) Refresh(ctx context.Context) error { return f.joinRefresh().wait(ctx) }

func (r *refresh) wait(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// joinRefresh returns a refresh that has not begun.
func (f *Feed) joinRefresh() *refresh {
	s := &f.refreshes
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &refresh{done: make(chan struct{})}
	}
	if !s.isRunning {
		s.isRunning = true
		go f.runRefreshes()
	}
	return s.next
}

func (f *Feed) takeRefresh() (*refresh, bool) {
	s := &f.refreshes
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.next
	s.next, s.isRunning = nil, r != nil
	return r, r != nil
}

func (f *Feed) runRefreshes() {
	for r, ok := f.takeRefresh(); ok; r, ok = f.takeRefresh() {
		ctx, cancel := context.WithTimeout(context.Background(), refreshLimit)
		r.err = f.refresh(watchdog.LimitAnswer(ctx, refreshTimeout))
		cancel()
		close(r.done)
	}
}

func (f *Feed) refresh(ctx context.Context) error {
	f.mu.Lock()
	version, isSynced := f.version, f.isSynced
	f.mu.Unlock()
	store := f.direct()
	for isSynced {
		page, observe, err := f.watch(ctx, store, version, probeTimeout)
		lost := (*storer.HistoryLostError)(nil)
		if errors.As(err, &lost) {
			f.handleLostHistory(version)
			break
		}
		if err != nil {
			return err
		}
		f.pass(updateOf(page), observe)
		if version = page.Version; !page.HasMore {
			return nil
		}
	}
	u, observe, err := f.scan(ctx, store)
	if err != nil {
		return err
	}
	f.pass(u, observe)
	return nil
}

// direct returns the store itself, if the feed's calls may be answered by another VM.
func (f *Feed) direct() storer.Table {
	if t, ok := f.store.(interface{ Direct() storer.Table }); ok {
		return t.Direct()
	}
	return f.store
}

// pass passes on an update that the feed's own calls may have overtaken, and then calls observe.
func (f *Feed) pass(u Update, observe func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(u)
	observe()
}
