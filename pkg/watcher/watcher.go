package watcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// outageGrace is the maximum time that a live endpoint takes to register again once the store is back.
	outageGrace = 2 * time.Second
	// maxFirstLines is the number of endpoints up to which the first read logs each of them; more lines would be dropped.
	maxFirstLines = 500
	// endpointGap is the pause between calls of the endpoints' feed. While endpoints are replaced, one call then returns several
	// changes; it adds little to the time within which a draining endpoint must get no more requests.
	endpointGap = 200 * time.Millisecond
)

// Decoder names the tables and the configuration's key, and decodes their rows.
type Decoder struct {
	ConfigTable, ConfigKey, EndpointTable string
	Config                                func([]byte) (*registrar.Config, error)
	Endpoint                              func(id string, text []byte, version int64) (registrar.Endpoint, error)
}

// Watcher maintains the newest registry from the configuration table and the endpoint table.
type Watcher struct {
	decoder   Decoder
	log       logrus.FieldLogger
	config    *Feed
	endpoints *Feed
	onChange  func(*registrar.Registry)

	current atomic.Pointer[registrar.Registry]

	mu sync.Mutex
	// rows holds the newest known row of each endpoint, including removed ones.
	rows map[string]endpointRow
	// leaving holds the endpoints that said in an answer that they leave.
	leaving registrar.Leaving
	// passed and hasGap are those of the next registry; isChanged says that its endpoints differ from those of the current one.
	passed    []registrar.Endpoint
	hasGap    bool
	isChanged bool
	// isBulk says that the endpoints that are applied are not logged one by one.
	isBulk bool
	// endpointsVersion is the store's version up to which rows holds all changes, fullVersion that of the last full read: changes
	// before it may have been missed.
	endpointsVersion, fullVersion int64
	// keptFrom is the lowest version of the rows that are kept around an outage; 0 if there are none.
	keptFrom int64
	// updated is closed, and replaced, when endpointsVersion or keptFrom changes, configUpdated when configRow does.
	updated, configUpdated chan struct{}
	// rejectedRow is the version of the newest row of the configuration that can't be decoded.
	rejectedRow  int64
	configRow    storer.Entry
	configSource registrar.ConfigRow
	cfg          *registrar.Config
	// expiry runs expire when the first of the rows expires.
	expiry *time.Timer
}

type endpointRow struct {
	entry    storer.Entry
	endpoint registrar.Endpoint
	// isUsable is false for removed and unreadable rows.
	isUsable bool
	// expires is the time until which a row that was removed around an outage stays usable; it is zero for all other rows.
	expires time.Time
}

// New returns a watcher; it calls onChange with each new registry, and onChange must not block.
func New(
	store storer.Table, d Decoder, onChange func(*registrar.Registry), log logrus.FieldLogger,
) *Watcher {
	w := &Watcher{
		decoder: d, log: log, onChange: onChange, rows: map[string]endpointRow{}, leaving: registrar.Leaving{},
		updated: make(chan struct{}), configUpdated: make(chan struct{}),
	}
	w.config = NewFeed(store, d.ConfigTable, []string{""}, w.applyConfigUpdate, log)
	w.endpoints = NewFeed(store, d.EndpointTable, []string{""}, w.applyEndpointUpdate, log)
	w.endpoints.SetGap(endpointGap)
	w.current.Store(registrar.NewRegistry(nil, nil))
	return w
}

// Current returns the newest registry.
func (w *Watcher) Current() *registrar.Registry { return w.current.Load() }

// SetMaxConfigWatch sets the function that bounds the wait of each watch of the configuration, unless it returns 0; call it
// before Start.
func (w *Watcher) SetMaxConfigWatch(limit func() time.Duration) { w.config.SetMaxWatch(limit) }

// SetClock sets the function that returns the time since boot, for the configuration; call it before Start.
func (w *Watcher) SetClock(now func() time.Duration) { w.config.SetClock(now) }

// ConfigAsOf returns the time since boot as of which the store's configuration is known here; false if it never was. A row
// that a peer sends does not renew it; the answers of a VM that passes the configuration on do, by the age that they state.
func (w *Watcher) ConfigAsOf() (time.Duration, bool) { return w.config.AsOf() }

// Start follows both tables until ctx ends.
func (w *Watcher) Start(ctx context.Context) {
	w.config.Start(ctx)
	w.endpoints.Start(ctx)
}

// Refresh brings the registry up to what the store held when it was called.
func (w *Watcher) Refresh(ctx context.Context) error {
	config, endpoints := w.config.joinRefresh(), w.endpoints.joinRefresh()
	if err := config.wait(ctx); err != nil {
		return errors.Wrap(err, "refresh configuration")
	}
	return errors.Wrap(endpoints.wait(ctx), "refresh endpoints")
}

// IsLost reports whether the last calls to the store failed for either table.
func (w *Watcher) IsLost() bool { return w.config.IsLost() || w.endpoints.IsLost() }

// ConfigEntry returns the row of the active configuration; its version is 0 while there is none.
func (w *Watcher) ConfigEntry() storer.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.configRow
}

// EndpointsVersion returns the store's version up to which the feed has brought all changes of the endpoints.
func (w *Watcher) EndpointsVersion() int64 { return w.endpoints.Version() }

// Changes holds rows of a table for another VM.
type Changes struct {
	Entries []storer.Entry
	// Version is the version up to which the changes are complete.
	Version int64
}

// Complete is a range of versions of which all changes are known.
type Complete struct {
	// Since is the version of the last full read; Until is 0 before the first one.
	Since, Until int64
	// Changed is the version up to which rows may have changed: there is none between it and Until.
	Changed int64
}

// EndpointsComplete returns the versions of which all changes of the endpoints may be passed on.
func (w *Watcher) EndpointsComplete() Complete {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := Complete{Since: w.fullVersion, Until: w.endpointsVersion}
	if w.keptFrom > 0 {
		c.Until = min(c.Until, w.keptFrom-1)
	}
	c.Changed = c.Until
	return c
}

// EndpointsUpdated returns a channel that is closed at the next change of EndpointsComplete.
func (w *Watcher) EndpointsUpdated() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.updated
}

// notifyUpdated signals a change of EndpointsComplete; the lock is held.
func (w *Watcher) notifyUpdated() {
	close(w.updated)
	w.updated = make(chan struct{})
}

// EndpointsAfter returns the rows of endpoints, including removed ones, whose versions are later. Those of endpoints that are
// kept around an outage are left out, and the changes are complete only up to the first of these.
func (w *Watcher) EndpointsAfter(after int64) Changes {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := Changes{Version: w.endpointsVersion}
	for id, row := range w.rows {
		switch {
		case !row.expires.IsZero():
			c.Version = min(c.Version, row.entry.Version-1)
		case row.entry.Version > after:
			e := row.entry
			e.Table, e.Key = w.decoder.EndpointTable, id
			c.Entries = append(c.Entries, e)
		}
	}
	return c
}

// Rows returns the newest known rows of both tables, including removed ones, but for those of endpoints that are kept around an
// outage: a peer keeps what it knows of these.
func (w *Watcher) Rows() []storer.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	entries := make([]storer.Entry, 0, len(w.rows)+1)
	if w.configRow.Version > 0 {
		entries = append(entries, w.configRow)
	}
	for id, row := range w.rows {
		if !row.expires.IsZero() {
			continue
		}
		e := row.entry
		e.Table, e.Key = w.decoder.EndpointTable, id
		entries = append(entries, e)
	}
	return entries
}

// ApplyPeerRows applies those rows received from another VM that are newer than the rows known here.
func (w *Watcher) ApplyPeerRows(entries []storer.Entry) {
	// The feed's next watch must not ask for the configuration again; a row replaces all earlier ones.
	w.config.Advance(w.applyPeerRows(entries))
}

// applyPeerRows returns the version of the row of the active configuration.
func (w *Watcher) applyPeerRows(entries []storer.Entry) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, e := range entries {
		switch e.Table {
		case w.decoder.ConfigTable:
			if e.Key == w.decoder.ConfigKey {
				w.applyConfig(e, sourcePeer)
			}
		case w.decoder.EndpointTable:
			if known := w.rows[e.Key].entry; e.Version != known.Version || e.IsRemoved != known.IsRemoved {
				w.applyEndpoint(w.decodeRow(e), now, time.Time{})
			}
		}
	}
	w.publish()
	return w.configRow.Version
}

// ConfigComplete returns the versions of which the configuration may be passed on. There is no gap: a row replaces all earlier
// ones.
func (w *Watcher) ConfigComplete() Complete {
	known := w.config.Version()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.configRow.Version == 0 || w.rejectedRow > w.configRow.Version {
		return Complete{}
	}
	return Complete{Until: max(known, w.configRow.Version), Changed: w.configRow.Version}
}

// ConfigUpdated returns a channel that is closed when another row of the configuration becomes active.
func (w *Watcher) ConfigUpdated() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.configUpdated
}

// ConfigAfter returns the row of the active configuration if its version is later.
func (w *Watcher) ConfigAfter(after int64) Changes {
	c := Changes{Version: w.ConfigComplete().Until}
	if e := w.ConfigEntry(); e.Version > after {
		c.Entries, c.Version = []storer.Entry{e}, max(c.Version, e.Version)
	}
	return c
}

func (w *Watcher) applyConfigUpdate(u Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range u.Entries {
		if e.Key != w.decoder.ConfigKey {
			continue
		}
		if u.IsFromPeer {
			w.applyConfig(e, sourcePeer)
		} else {
			w.applyConfig(e, sourceStore)
		}
	}
}

// Sources of the configuration's row.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// applyConfig activates the configuration of the row from the source unless a newer one is known; the lock is held.
func (w *Watcher) applyConfig(e storer.Entry, source string) {
	if e.IsRemoved || e.Version <= w.configRow.Version {
		return
	}
	cfg, err := w.decoder.Config(e.Value)
	if err != nil {
		w.rejectedRow = e.Version
		w.log.WithError(err).WithField("row", e.Version).Error("configuration row rejected; the active configuration stays")
		return
	}
	if w.cfg != nil && cfg.Version < w.cfg.Version {
		w.log.WithFields(logrus.Fields{"version": cfg.Version, "inForce": w.cfg.Version}).
			Warn("configuration ignored: it is older than the active one")
		return
	}
	w.configRow, w.cfg = e, cfg
	close(w.configUpdated)
	w.configUpdated = make(chan struct{})
	w.configSource = registrar.ConfigRow{Version: e.Version, Source: source, ActiveSince: time.Now()}
	w.log.WithFields(logrus.Fields{"version": cfg.Version, "row": e.Version, "routes": len(cfg.Routes), "source": source}).
		Info("configuration in force")
	for _, err := range cfg.RouteErrors {
		w.log.WithError(err).WithField("version", cfg.Version).Error("route can't be used by this build; its requests are refused")
	}
	w.logAccounts(cfg)
	w.publish()
}

// maxAccountLines bounds the log lines about the accounts of one version of the configuration.
const maxAccountLines = 20

// logAccounts logs what can't be used of the configuration's accounts.
func (w *Watcher) logAccounts(cfg *registrar.Config) {
	log := w.log.WithField("version", cfg.Version)
	for n, err := range cfg.AccountErrors {
		if n == maxAccountLines {
			log.WithField("further", len(cfg.AccountErrors)-n).Warn("further accounts have faults")
			break
		}
		log.WithError(err).Warn("account of the configuration has a fault; the others are not affected")
	}
	if cfg.HasAccounts() {
		log.WithField("accounts", len(cfg.Accounts)).Info("requests need the keys of accounts, except on public routes")
	}
}

// applyEndpointUpdate applies the rows of the update and, if it is a full one, removes the endpoints that it does not list.
func (w *Watcher) applyEndpointUpdate(u Update) {
	rows := w.decode(u.Entries)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if isFirst := len(w.rows) == 0 && len(rows) > maxFirstLines; isFirst {
		w.isBulk = true
		defer func() { w.isBulk = false }()
		w.log.WithFields(logrus.Fields{"rows": len(rows), "version": u.Version}).Info("endpoints read for the first time")
	}
	keepUntil := time.Time{}
	if !u.StoreBackAt.IsZero() {
		keepUntil = u.StoreBackAt.Add(outageGrace)
	}
	w.hasGap = w.hasGap || u.IsFull
	if u.Version > w.endpointsVersion || u.IsFull {
		w.endpointsVersion = u.Version
	}
	if u.IsFull {
		w.fullVersion = u.Version
	}
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.entry.Key] = true
		if _, ok := w.rows[row.entry.Key]; !ok && row.entry.IsRemoved {
			// The feed has left out the changes before the last one of this row.
			w.hasGap = true
		}
		w.applyEndpoint(row, now, keepUntil)
	}
	if u.IsFull {
		for id, row := range w.rows {
			if !listed[id] && !row.entry.IsRemoved && row.entry.Version <= u.Version {
				w.applyEndpoint(decodedRow{entry: storer.Entry{Key: id, Version: u.Version, IsRemoved: true}}, now, keepUntil)
			}
		}
	}
	w.scheduleExpiry(now)
	w.publish()
}

// decodedRow is a row with the endpoint that it holds, or the error if it holds none.
type decodedRow struct {
	entry    storer.Entry
	endpoint registrar.Endpoint
	err      error
}

// decode decodes rows without the lock: those of thousands of endpoints take a small VM a quarter of a second, for which a
// configuration must not wait.
func (w *Watcher) decode(entries []storer.Entry) []decodedRow {
	rows := make([]decodedRow, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, w.decodeRow(e))
	}
	return rows
}

func (w *Watcher) decodeRow(e storer.Entry) decodedRow {
	row := decodedRow{entry: e}
	if !e.IsRemoved {
		row.endpoint, row.err = w.decoder.Endpoint(e.Key, e.Value, e.Version)
	}
	return row
}

// applyEndpoint applies a row unless a newer one is known. An endpoint that is removed before keepUntil stays usable until
// then, because it may only have to register again. The lock is held.
func (w *Watcher) applyEndpoint(row decodedRow, now, keepUntil time.Time) {
	e := row.entry
	old := w.rows[e.Key]
	if e.Version < old.entry.Version || (e.Version == old.entry.Version && e.IsRemoved == old.entry.IsRemoved) {
		w.applyOldEndpoint(row)
		return
	}
	if w.isBulk && row.err == nil && !e.IsRemoved {
		w.pass(old)
		w.isChanged = true
		w.rows[e.Key] = endpointRow{entry: e, endpoint: row.endpoint, isUsable: true}
		return
	}
	log := w.log.WithFields(logrus.Fields{"endpoint": e.Key, "row": e.Version})
	if e.IsRemoved {
		w.pass(old)
		w.isChanged = w.isChanged || old.isUsable
		row := endpointRow{entry: e}
		if now.Before(keepUntil) && old.isUsable {
			row.endpoint, row.isUsable, row.expires = old.endpoint, true, keepUntil
			log = log.WithField("keptFor", keepUntil.Sub(now).Truncate(time.Millisecond).String())
		}
		log.Info("endpoint gone")
		w.rows[e.Key] = row
		return
	}
	endpoint := row.endpoint
	if row.err != nil {
		log.WithError(row.err).Warn("endpoint row can't be decoded; no requests are sent to this endpoint")
		w.pass(old)
		w.isChanged = w.isChanged || old.isUsable
		w.rows[e.Key] = endpointRow{entry: e}
		return
	}
	if !old.isUsable || !isSame(endpoint, old.endpoint) {
		w.pass(old)
		w.isChanged = true
	}
	if endpoint.IsDraining != old.endpoint.IsDraining || !old.isUsable || endpoint.StartedAtMs != old.endpoint.StartedAtMs {
		log.WithFields(logrus.Fields{
			"service": endpoint.Service, "address": endpoint.Address.String(), "isDraining": endpoint.IsDraining,
		}).Info("endpoint registered or changed")
	}
	w.rows[e.Key] = endpointRow{entry: e, endpoint: endpoint, isUsable: true}
}

// isSame reports whether the endpoints differ in the versions of their rows at most.
func isSame(a, b registrar.Endpoint) bool {
	a.Version = b.Version
	return a == b
}

// pass records that the row's endpoint was replaced or removed; the lock is held.
func (w *Watcher) pass(old endpointRow) {
	if old.isUsable && !old.endpoint.IsDraining {
		w.passed = append(w.passed, old.endpoint)
	}
}

// applyOldEndpoint records an endpoint that was replaced by a row which arrived sooner, from a peer; the lock is held.
func (w *Watcher) applyOldEndpoint(row decodedRow) {
	e := row.entry
	if !e.IsRemoved && e.Version != w.rows[e.Key].entry.Version && row.err == nil && !row.endpoint.IsDraining {
		w.passed = append(w.passed, row.endpoint)
	}
}

// MarkLeaving records that the incarnation of an endpoint with the key, see registrar.Endpoint.LeavingKey, has said that it
// leaves. It returns whether this was new.
func (w *Watcher) MarkLeaving(key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.leaving.Add(key) {
		return false
	}
	w.log.WithField("endpoint", key).Info("endpoint said that it leaves; no further requests are sent to it")
	w.isChanged = true
	w.publish()
	return true
}

// scheduleExpiry has expire run when the first row expires, and tells those who pass the rows on; the lock is held.
func (w *Watcher) scheduleExpiry(now time.Time) {
	next := time.Time{}
	w.keptFrom = 0
	for _, row := range w.rows {
		if row.expires.IsZero() {
			continue
		}
		if next.IsZero() || row.expires.Before(next) {
			next = row.expires
		}
		if w.keptFrom == 0 || row.entry.Version < w.keptFrom {
			w.keptFrom = row.entry.Version
		}
	}
	w.notifyUpdated()
	switch {
	case next.IsZero():
	case w.expiry == nil:
		w.expiry = time.AfterFunc(next.Sub(now), w.expire)
	default:
		w.expiry.Reset(next.Sub(now))
	}
}

// expire makes the rows whose grace time has passed unusable.
func (w *Watcher) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for id, row := range w.rows {
		if !row.expires.IsZero() && !now.Before(row.expires) {
			row.isUsable, row.expires = false, time.Time{}
			w.rows[id] = row
			w.isChanged = true
		}
	}
	w.scheduleExpiry(now)
	w.publish()
}

// publish passes a new registry to onChange if it differs from the current one; the lock is held.
//
// A registry of thousands of endpoints is costly to build and to take over, and most updates of a row change nothing in it, for
// instance while an endpoint's start proceeds.
func (w *Watcher) publish() {
	current := w.current.Load()
	if !w.isChanged && len(w.passed) == 0 && !w.hasGap && current.Config == w.cfg {
		return
	}
	r := current.WithConfig(w.cfg)
	if w.isChanged {
		endpoints := make(map[string]registrar.Endpoint, len(w.rows))
		for id, row := range w.rows {
			if row.isUsable {
				endpoints[id] = w.leaving.Apply(row.endpoint)
			}
		}
		r = registrar.NewRegistry(w.cfg, endpoints)
	}
	r.ConfigRow, r.Passed, r.HasGap = w.configSource, w.passed, w.hasGap
	w.passed, w.hasGap, w.isChanged = nil, false, false
	w.current.Store(r)
	w.onChange(r)
}
