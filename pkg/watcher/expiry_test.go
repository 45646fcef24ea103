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

// silentTable is a table of endpoints; calls get no answer while it is silent, as those on a dead connection.
type silentTable struct {
	storer.Table

	mu       sync.Mutex
	isSilent bool
	rows     map[string]int64
	changes  []storer.Entry
	// forgotten is the version up to which changes are no longer kept.
	forgotten int64
}

func (t *silentTable) forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgotten = int64(len(t.changes)) + 1
}

func (t *silentTable) put(ids ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		t.changes = append(t.changes, storer.Entry{Table: "endpoints", Key: id, Version: int64(len(t.changes) + 1)})
		t.rows[id] = int64(len(t.changes))
	}
}

func (t *silentTable) remove(ids ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		e := storer.Entry{Table: "endpoints", Key: id, Version: int64(len(t.changes) + 1), IsRemoved: true}
		t.changes = append(t.changes, e)
		delete(t.rows, id)
	}
}

func (t *silentTable) setSilent(isSilent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isSilent = isSilent
}

func (t *silentTable) Scan(_ context.Context, r storer.Range) (storer.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	page := storer.Page{Version: int64(len(t.changes))}
	for id, version := range t.rows {
		if r.Table == "endpoints" {
			page.Entries = append(page.Entries, storer.Entry{Table: r.Table, Key: id, Version: version})
		}
	}
	return page, nil
}

func (t *silentTable) Watch(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	end := time.Now().Add(wait)
	for ctx.Err() == nil {
		t.mu.Lock()
		isSilent, isForgotten := t.isSilent, after < t.forgotten
		page := storer.Page{Version: int64(len(t.changes))}
		if table == "endpoints" {
			page.Entries = t.changes[after:]
		}
		t.mu.Unlock()
		if isSilent {
			time.Sleep(wait + 700*time.Millisecond)
			return storer.Page{}, &storer.UnavailableError{Operation: "watch"}
		}
		if table == "endpoints" && isForgotten {
			return storer.Page{}, &storer.HistoryLostError{Table: table, After: after}
		}
		if len(page.Entries) > 0 || !time.Now().Before(end) {
			return page, nil
		}
		time.Sleep(time.Millisecond)
	}
	return storer.Page{}, ctx.Err()
}

// newSilentWatcher returns a watcher of a table with the endpoints, which has read it, and ends with the test.
func newSilentWatcher(t *testing.T, endpoints ...string) (*Watcher, *silentTable) {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	table := &silentTable{rows: map[string]int64{}}
	table.put(endpoints...)
	w := New(table, Decoder{
		ConfigTable: "config", EndpointTable: "endpoints",
		Endpoint: func(id string, _ []byte, version int64) (registrar.Endpoint, error) {
			return registrar.Endpoint{ID: id, Service: "s", Version: version}, nil
		},
	}, func(*registrar.Registry) {}, log)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * watchTimeout)
	})
	w.Start(ctx)
	time.Sleep(time.Second)
	return w, table
}

func hasEndpoint(w *Watcher, id string) bool {
	_, ok := w.Current().Endpoints[id]
	return ok
}

// TestEndpointsThatLeaveOneAfterAnotherAreGoneInTime guards against requests to an endpoint that has ended, after the connections
// to the store fell silent.
func TestEndpointsThatLeaveOneAfterAnotherAreGoneInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, table := newSilentWatcher(t, "a", "b", "c")
		table.setSilent(true)
		time.Sleep(watchTimeout)
		table.setSilent(false)
		time.Sleep(1250 * time.Millisecond)
		for _, id := range []string{"a", "b"} {
			table.remove(id)
			removed := time.Now()
			go func() {
				time.Sleep(outageGrace + endpointGap)
				assert.False(t, hasEndpoint(w, id), "endpoint %s is used %s after its removal", id, time.Since(removed))
			}()
			time.Sleep(800 * time.Millisecond)
		}
		time.Sleep(2 * outageGrace)
		assert.False(t, hasEndpoint(w, "a"))
		assert.False(t, hasEndpoint(w, "b"))
		assert.True(t, hasEndpoint(w, "c"))
	})
}

// TestEndpointsThatExpiredInAnOutageAreKept checks that endpoints whose rows expired while the store was away stay usable until
// they have had time to register again, however late the store's next change comes.
func TestEndpointsThatExpiredInAnOutageAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, table := newSilentWatcher(t, "a", "b", "c", "d")
		table.setSilent(true)
		time.Sleep(5 * time.Second)
		table.remove("a", "b", "c")
		table.setSilent(false)
		time.Sleep(outageGrace - 100*time.Millisecond)
		for _, id := range []string{"a", "b", "c", "d"} {
			assert.True(t, hasEndpoint(w, id), id)
		}
		table.put("a")
		// A call that began before the store was back may take until its timeout.
		time.Sleep(100*time.Millisecond + watchTimeout)
		assert.True(t, hasEndpoint(w, "a"))
		assert.False(t, hasEndpoint(w, "b"))
		assert.False(t, hasEndpoint(w, "c"))
		table.remove("d")
		time.Sleep(2 * endpointGap)
		assert.False(t, hasEndpoint(w, "d"), "the outage is long past")
	})
}

// TestReturnOfTheStoreIsSeenBeforeItsNextChange guards against a grace time that begins with the first change after an outage.
func TestReturnOfTheStoreIsSeenBeforeItsNextChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, table := newSilentWatcher(t, "a", "b")
		table.setSilent(true)
		time.Sleep(watchTimeout)
		table.setSilent(false)
		// The call that was silent fails within a second.
		time.Sleep(time.Second + outageGrace)
		table.remove("a")
		time.Sleep(2 * endpointGap)
		assert.False(t, hasEndpoint(w, "a"))
	})
}

// TestPeersKeepEndpointsThatExpiredInAnOutage guards against a VM without endpoints that is still cut off when its peers have the
// store back.
func TestPeersKeepEndpointsThatExpiredInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, table := newSilentWatcher(t, "a", "b")
		late, _ := newSilentWatcher(t)
		late.ApplyPeerRows(w.Rows())
		table.setSilent(true)
		time.Sleep(5 * time.Second)
		table.remove("a", "b")
		table.setSilent(false)
		time.Sleep(outageGrace - 100*time.Millisecond)
		table.put("a")
		late.ApplyPeerRows(w.Rows())
		assert.True(t, hasEndpoint(late, "a"))
		assert.True(t, hasEndpoint(late, "b"))
		time.Sleep(watchTimeout)
		late.ApplyPeerRows(w.Rows())
		assert.True(t, hasEndpoint(late, "a"))
		assert.False(t, hasEndpoint(late, "b"))
	})
}
