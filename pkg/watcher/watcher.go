package watcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// outageMemory is how long a live endpoint may take to register again after the store's return.
	outageMemory = 2 * time.Second
)

// Decoder turns rows into the product's types.
type Decoder struct {
	ConfigTable, ConfigKey, EndpointTable string
	Config                                func([]byte) (*registrar.Config, error)
	Endpoint                              func(id string, text []byte, version int64) (registrar.Endpoint, error)
}

// Watcher keeps the newest registry.
type Watcher struct {
	decoder   Decoder
	log       logrus.FieldLogger
	config    *Feed
	endpoints *Feed
	onChange  func(*registrar.Registry)

	current atomic.Pointer[registrar.Registry]

	mu sync.Mutex
	// rows holds the newest version heard of each endpoint, removed ones included.
	rows          map[string]endpointRow
	configRow     storer.Entry
	cfg           *registrar.Config
	pendingExpiry *time.Timer
}

type endpointRow struct {
	entry    storer.Entry
	endpoint registrar.Endpoint
	// isUsable is false for removed and unreadable rows.
	isUsable bool
	// expires is when a row that vanished during an outage counts as gone.
	expires time.Time
}

// New returns a watcher; onChange hears each new registry and must not block.
func New(
	store storer.Table, d Decoder, onChange func(*registrar.Registry), log logrus.FieldLogger,
) *Watcher {
	w := &Watcher{decoder: d, log: log, onChange: onChange, rows: map[string]endpointRow{}}
	w.config = NewFeed(store, d.ConfigTable, []string{""}, w.hearConfig, log)
	w.endpoints = NewFeed(store, d.EndpointTable, []string{""}, w.hearEndpoints, log)
	w.current.Store(registrar.NewRegistry(nil, nil))
	return w
}

// Current returns the newest registry.
func (w *Watcher) Current() *registrar.Registry { return w.current.Load() }

// Start follows both tables until ctx ends.
func (w *Watcher) Start(ctx context.Context) {
	w.config.Start(ctx)
	w.endpoints.Start(ctx)
}

// IsLost says whether the store did not answer the last calls of either table.
func (w *Watcher) IsLost() bool { return w.config.IsLost() || w.endpoints.IsLost() }

// Rows returns the newest rows heard of both tables, removed ones included.
func (w *Watcher) Rows() []storer.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	entries := make([]storer.Entry, 0, len(w.rows)+1)
	if w.configRow.Version > 0 {
		entries = append(entries, w.configRow)
	}
	for id, row := range w.rows {
		e := row.entry
		e.Table, e.Key = w.decoder.EndpointTable, id
		entries = append(entries, e)
	}
	return entries
}

// HearPeer takes over rows of another VM that are newer than those known here.
func (w *Watcher) HearPeer(entries []storer.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, e := range entries {
		switch e.Table {
		case w.decoder.ConfigTable:
			if e.Key == w.decoder.ConfigKey {
				w.takeConfig(e)
			}
		case w.decoder.EndpointTable:
			w.takeEndpoint(e, now, false)
		}
	}
	w.publish()
}

func (w *Watcher) hearConfig(u Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range u.Entries {
		if e.Key == w.decoder.ConfigKey {
			w.takeConfig(e)
		}
	}
}

func (w *Watcher) takeConfig(e storer.Entry) {
	if e.IsRemoved || e.Version <= w.configRow.Version {
		return
	}
	cfg, err := w.decoder.Config(e.Value)
	if err != nil {
		w.log.WithError(err).WithField("row", e.Version).Error("configuration refused, the one in force stays")
		return
	}
	if w.cfg != nil && cfg.Version < w.cfg.Version {
		w.log.WithFields(logrus.Fields{"version": cfg.Version, "inForce": w.cfg.Version}).Warn("older configuration ignored")
		return
	}
	w.configRow, w.cfg = e, cfg
	w.log.WithFields(logrus.Fields{"version": cfg.Version, "row": e.Version, "routes": len(cfg.Routes)}).
		Info("configuration in force")
	w.publish()
}

func (w *Watcher) hearEndpoints(u Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	seen := map[string]bool{}
	for _, e := range u.Entries {
		seen[e.Key] = true
		w.takeEndpoint(e, now, u.AfterOutage)
	}
	if u.IsFull {
		for id, row := range w.rows {
			if !seen[id] && !row.entry.IsRemoved && row.entry.Version <= u.Version {
				w.takeEndpoint(storer.Entry{Key: id, Version: u.Version, IsRemoved: true}, now, u.AfterOutage)
			}
		}
	}
	w.publish()
}

func (w *Watcher) takeEndpoint(e storer.Entry, now time.Time, afterOutage bool) {
	old := w.rows[e.Key]
	if e.Version < old.entry.Version || (e.Version == old.entry.Version && e.IsRemoved == old.entry.IsRemoved) {
		return
	}
	log := w.log.WithFields(logrus.Fields{"endpoint": e.Key, "row": e.Version})
	if e.IsRemoved {
		row := endpointRow{entry: e}
		if afterOutage && old.isUsable {
			row.endpoint, row.isUsable, row.expires = old.endpoint, true, now.Add(outageMemory)
			w.expireLater()
		}
		log.WithField("keptFor", row.expires.Sub(now).Truncate(time.Millisecond).String()).Info("endpoint gone")
		w.rows[e.Key] = row
		return
	}
	endpoint, err := w.decoder.Endpoint(e.Key, e.Value, e.Version)
	if err != nil {
		log.WithError(err).Warn("endpoint entry can't be read, no request goes there")
		w.rows[e.Key] = endpointRow{entry: e}
		return
	}
	if endpoint.IsDraining != old.endpoint.IsDraining || !old.isUsable || endpoint.Born != old.endpoint.Born {
		log.WithFields(logrus.Fields{
			"service": endpoint.Service, "address": endpoint.Address.String(), "isDraining": endpoint.IsDraining,
		}).Info("endpoint heard")
	}
	w.rows[e.Key] = endpointRow{entry: e, endpoint: endpoint, isUsable: true}
}

func (w *Watcher) expireLater() {
	if w.pendingExpiry != nil {
		return
	}
	w.pendingExpiry = time.AfterFunc(outageMemory, w.expire)
}

func (w *Watcher) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pendingExpiry = nil
	now := time.Now()
	for id, row := range w.rows {
		if row.expires.IsZero() {
			continue
		}
		if now.Before(row.expires) {
			w.expireLater()
			continue
		}
		row.isUsable, row.expires = false, time.Time{}
		w.rows[id] = row
	}
	w.publish()
}

// publish makes a new registry of what is known; the lock is held.
func (w *Watcher) publish() {
	endpoints := make(map[string]registrar.Endpoint, len(w.rows))
	for id, row := range w.rows {
		if row.isUsable {
			endpoints[id] = row.endpoint
		}
	}
	r := registrar.NewRegistry(w.cfg, endpoints)
	w.current.Store(r)
	w.onChange(r)
}
