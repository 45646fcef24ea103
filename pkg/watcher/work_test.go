package watcher

import (
	"fmt"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// newWorkWatcher returns a watcher that has read n endpoints, and counts the registries that it publishes. The service of an
// endpoint is the first letter of its row's value.
func newWorkWatcher(n int) (*Watcher, *int) {
	log, _ := logtest.NewNullLogger()
	published := 0
	w := New(nil, Decoder{
		ConfigTable: "config", ConfigKey: "c", EndpointTable: "endpoints",
		Config: func(b []byte) (*registrar.Config, error) { return &registrar.Config{Version: int64(b[0])}, nil },
		Endpoint: func(id string, text []byte, version int64) (registrar.Endpoint, error) {
			return registrar.Endpoint{ID: id, Service: string(text[:1]), Version: version}, nil
		},
	}, func(*registrar.Registry) { published++ }, log)
	u := Update{IsFull: true, Version: int64(n)}
	for i := range n {
		u.Entries = append(u.Entries, storer.Entry{
			Table: "endpoints", Key: fmt.Sprintf("e%04d", i), Value: []byte("s0"), Version: int64(i + 1),
		})
	}
	w.applyEndpointUpdate(u)
	published = 0
	return w, &published
}

// TestRowsThatChangeNothingPublishNoRegistry guards against processor time for rows whose changes no decision reads: a registry
// of thousands of endpoints is rebuilt, and all groups of endpoints with it.
func TestRowsThatChangeNothingPublishNoRegistry(t *testing.T) {
	w, published := newWorkWatcher(3003)
	for v := range int64(100) {
		w.applyEndpointUpdate(Update{Version: 4000 + v, Entries: []storer.Entry{
			{Table: "endpoints", Key: fmt.Sprintf("e%04d", v), Value: fmt.Appendf(nil, "s%d", v), Version: 4000 + v},
		}})
	}
	w.ApplyPeerRows(w.Rows())
	assert.Zero(t, *published)
	assert.Equal(t, int64(4099), w.rows["e0099"].entry.Version)
}

// TestRowsThatChangeSomethingPublish checks each kind of change that a registry has to show.
func TestRowsThatChangeSomethingPublish(t *testing.T) {
	row := func(key, value string, version int64) storer.Entry {
		return storer.Entry{Table: "endpoints", Key: key, Value: []byte(value), Version: version, IsRemoved: value == ""}
	}
	tests := []struct {
		name   string
		apply  func(w *Watcher)
		want   int
		passed int
	}{
		{"endpoint of another service", func(w *Watcher) {
			w.applyEndpointUpdate(Update{Version: 50, Entries: []storer.Entry{row("e0001", "t", 50)}})
		}, 1, 1},
		{"endpoint removed", func(w *Watcher) {
			w.applyEndpointUpdate(Update{Version: 50, Entries: []storer.Entry{row("e0001", "", 50)}})
		}, 1, 1},
		{"endpoint new", func(w *Watcher) {
			w.applyEndpointUpdate(Update{Version: 50, Entries: []storer.Entry{row("new", "s", 50)}})
		}, 1, 0},
		{"endpoint leaves", func(w *Watcher) { w.MarkLeaving("e0001@0") }, 1, 0},
		{"changes were missed", func(w *Watcher) {
			w.applyEndpointUpdate(Update{Version: 50, Entries: []storer.Entry{row("other", "", 50)}})
		}, 1, 0},
		{"configuration of a peer", func(w *Watcher) {
			w.ApplyPeerRows([]storer.Entry{{Table: "config", Key: "c", Value: []byte("2"), Version: 60}})
		}, 1, 0},
		{"nothing", func(w *Watcher) { w.ApplyPeerRows(nil) }, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, published := newWorkWatcher(10)
			tt.apply(w)
			assert.Equal(t, tt.want, *published)
			if tt.want > 0 {
				assert.Len(t, w.Current().Passed, tt.passed)
			}
		})
	}
}

// TestConfigurationKeepsTheIndexOfEndpoints guards against a rebuild of all endpoints for each configuration.
func TestConfigurationKeepsTheIndexOfEndpoints(t *testing.T) {
	w, _ := newWorkWatcher(3003)
	before := w.Current()
	w.ApplyPeerRows([]storer.Entry{{Table: "config", Key: "c", Value: []byte("2"), Version: 9000}})
	assert.True(t, w.Current().HasEndpointsOf(before))
	assert.Equal(t, int64('2'), w.Current().Config.Version)
}

// TestConfigurationDoesNotWaitForDecoding guards against a configuration that waits, on a small VM, until thousands of rows of
// endpoints are decoded.
func TestConfigurationDoesNotWaitForDecoding(t *testing.T) {
	w, _ := newWorkWatcher(10)
	decode := w.decoder.Endpoint
	w.decoder.Endpoint = func(id string, text []byte, version int64) (registrar.Endpoint, error) {
		w.ApplyPeerRows([]storer.Entry{{Table: "config", Key: "c", Value: []byte("7"), Version: 70}})
		return decode(id, text, version)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.applyEndpointUpdate(Update{Version: 50, Entries: []storer.Entry{
			{Table: "endpoints", Key: "e0001", Value: []byte("t"), Version: 50},
		}})
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the configuration waits for the rows")
	}
	assert.Equal(t, int64('7'), w.Current().Config.Version)
	assert.Equal(t, "t", w.Current().Endpoints["e0001"].Service)
}

// TestFirstReadOfManyEndpointsLogsOneLine guards against processor time for thousands of log lines at a start.
func TestFirstReadOfManyEndpointsLogsOneLine(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	w, _ := newWorkWatcher(0)
	w.log, w.rows = log, map[string]endpointRow{}
	u := Update{IsFull: true, Version: 5000}
	for i := range 3003 {
		u.Entries = append(u.Entries, storer.Entry{Key: fmt.Sprintf("e%04d", i), Value: []byte("s"), Version: int64(i + 1)})
	}
	w.applyEndpointUpdate(u)
	assert.Len(t, hook.AllEntries(), 1)
	assert.Len(t, w.Current().Endpoints, 3003)
	w.applyEndpointUpdate(Update{Version: 5001, Entries: []storer.Entry{{Key: "e0001", Version: 5001, IsRemoved: true}}})
	assert.Equal(t, "endpoint gone", hook.LastEntry().Message)
}
