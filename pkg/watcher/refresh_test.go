package watcher

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// TestRefreshBringsWhatASilentWatchDoesNot checks that a refresh doesn't depend on the feed's own calls.
func TestRefreshBringsWhatASilentWatchDoesNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, table := newSilentWatcher(t, "a")
		table.setSilent(true)
		time.Sleep(time.Second)
		assert.Error(t, w.Refresh(t.Context()))
		// The watch that the feed waits for stays silent.
		table.setSilent(false)
		table.put("b")
		table.put("c")
		table.remove("c")
		assert.NoError(t, w.Refresh(t.Context()))
		assert.True(t, hasEndpoint(w, "b"))
		assert.False(t, w.Current().HasGap)
		assert.Equal(t, []registrar.Endpoint{{ID: "c", Service: "s", Version: 3}}, w.Current().Passed)

		table.forget()
		table.put("d")
		assert.NoError(t, w.Refresh(t.Context()))
		assert.True(t, hasEndpoint(w, "d"))
		assert.True(t, w.Current().HasGap, "the changes before d are lost")
	})
}

// slowTable counts the watches of a table that are answered after a second.
type slowTable struct {
	storer.Table
	mu      sync.Mutex
	watches int
	version int64
}

func (t *slowTable) Watch(context.Context, string, int64, time.Duration) (storer.Page, error) {
	t.mu.Lock()
	t.watches++
	page := storer.Page{Version: t.version}
	t.mu.Unlock()
	time.Sleep(time.Second)
	return page, nil
}

// TestRefreshesThatWaitShareARead checks that callers share a read, but none that began before they called.
func TestRefreshesThatWaitShareARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &slowTable{version: 1}
		log, _ := logtest.NewNullLogger()
		f := NewFeed(table, "t", nil, func(Update) {}, log)
		f.isSynced = true
		wg := sync.WaitGroup{}
		refresh := func() { assert.NoError(t, f.Refresh(t.Context())) }
		wg.Go(refresh)
		time.Sleep(time.Millisecond)
		table.mu.Lock()
		table.version = 2
		table.mu.Unlock()
		for range 50 {
			wg.Go(func() {
				refresh()
				assert.Equal(t, int64(2), f.Version())
			})
		}
		wg.Wait()
		assert.Equal(t, 2, table.watches)
	})
}
