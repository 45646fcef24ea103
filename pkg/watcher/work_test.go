package watcher

import (
	"fmt"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"

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
