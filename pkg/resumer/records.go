package resumer

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// Table is the store's table of the software versions of each service, with the service's name as key.
const Table = "software"

const (
	// recordDelay is how long after its start a VM stores no record: until then it doesn't know the VMs that rank before it.
	recordDelay = 1500 * time.Millisecond
	// rankDelay is the time that a VM leaves to the one that ranks before it to store a record.
	rankDelay = time.Second
	// maxWriters is the number of VMs that may store a record.
	maxWriters = 3
	// checkInterval is the time between two checks for records that are due.
	checkInterval = 100 * time.Millisecond
	// retryPause is the pause after a record could not be stored.
	retryPause = time.Second
	// restoreTimeout bounds the time that a caller waits for a record, and restorePause the time between two tries.
	restoreTimeout = 200 * time.Millisecond
	restorePause   = time.Second
)

// recordRow is the value of a service's row. Times are wall-clock times in Unix milliseconds.
type recordRow struct {
	Current []registrar.Software `json:"current"`
	Ended   []endedSoftware      `json:"ended"`
}

type endedSoftware struct {
	Software registrar.Software `json:"software"`
	AtMs     int64              `json:"atMs"`
}

func newRecordRow(now time.Time, r continuer.Record) recordRow {
	row := recordRow{Current: r.Current, Ended: []endedSoftware{}}
	for s, age := range r.Ended {
		row.Ended = append(row.Ended, endedSoftware{Software: s, AtMs: now.Add(-age).UnixMilli()})
	}
	return row
}

// covers reports whether the row says as much as the record.
func (row recordRow) covers(r continuer.Record) bool {
	for s := range r.Ended {
		if !slices.ContainsFunc(row.Ended, func(e endedSoftware) bool { return e.Software == s }) {
			return false
		}
	}
	return slices.Equal(r.Current, row.Current)
}

func (row recordRow) record(now time.Time) continuer.Record {
	r := continuer.Record{Current: row.Current, Ended: map[registrar.Software]time.Duration{}}
	for _, e := range row.Ended {
		// The clocks of VMs differ.
		r.Ended[e.Software] = max(now.Sub(time.UnixMilli(e.AtMs)), 0)
	}
	return r
}

// records keeps the records of services in the store.
type records struct {
	resumer *Resumer
	store   storer.Table
	rank    func(service string) int
	log     logrus.FieldLogger
	start   time.Time

	// restoring is held while a record is read for callers.
	restoring sync.Mutex
	// restored holds when records were last read for a caller.
	restored map[string]time.Time

	mu sync.Mutex
	// due holds the services whose records are to be stored, with the time.
	due map[string]time.Time
}

func newRecords(r *Resumer, store storer.Table, rank func(string) int, log logrus.FieldLogger) *records {
	return &records{
		resumer: r, store: store, rank: rank, log: log, start: time.Now(),
		due: map[string]time.Time{}, restored: map[string]time.Time{},
	}
}

// changed has the record of the service stored if this VM is one of those that do.
func (r *records) changed(now time.Time, service string) {
	if earliest := r.start.Add(recordDelay); now.Before(earliest) {
		now = earliest
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.due[service]; !ok || now.Before(at) {
		r.due[service] = now
	}
}

func (r *records) run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, service := range r.takeDue(now) {
				r.save(ctx, service)
			}
		}
	}
}

// takeDue returns the services whose records this VM is to store now.
func (r *records) takeDue(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for service, at := range r.due {
		if now.Before(at) {
			continue
		}
		rank := r.rank(service)
		switch {
		case rank >= maxWriters:
			delete(r.due, service)
		case !now.Before(at.Add(time.Duration(rank) * rankDelay)):
			delete(r.due, service)
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}

// save stores the record of the service unless the stored one says the same; if that fails, it is retried.
func (r *records) save(ctx context.Context, service string) {
	err := r.trySave(ctx, service)
	stale := (*storer.StaleError)(nil)
	if err == nil || ctx.Err() != nil {
		return
	}
	if !errors.As(err, &stale) {
		r.log.WithError(err).WithField("service", service).Warn("software versions of the service not stored; retrying")
	}
	r.changed(time.Now().Add(retryPause), service)
}

func (r *records) trySave(ctx context.Context, service string) error {
	readAt := time.Now()
	row, version, err := r.read(ctx, service)
	if err != nil {
		return err
	}
	now := time.Now()
	r.resumer.mu.Lock()
	if version > 0 {
		r.resumer.history.Restore(now, service, row.record(now), readAt)
	}
	record, _ := r.resumer.history.RecordOf(now, service)
	r.resumer.mu.Unlock()
	if len(record.Current) == 0 || (version > 0 && row.covers(record)) {
		return nil
	}
	value, err := json.Marshal(newRecordRow(now, record))
	if err != nil {
		return errors.Wrap(err, "encode software versions of service "+service)
	}
	_, err = r.store.Apply(ctx, storer.Change{
		Expect: []storer.Entry{{Table: Table, Key: service, Version: version}},
		Puts:   []storer.Entry{{Table: Table, Key: service, Value: value}},
	})
	if err == nil {
		r.log.WithFields(logrus.Fields{"service": service, "current": len(record.Current), "ended": len(record.Ended)}).
			Info("software versions of the service stored")
	}
	return err
}

// read returns the row of the service and its version, 0 if there is none.
func (r *records) read(ctx context.Context, service string) (recordRow, int64, error) {
	row := recordRow{}
	page, err := r.store.Scan(ctx, storer.Range{Table: Table, From: service, To: service + "\x00", Limit: 1})
	if err != nil || len(page.Entries) == 0 {
		return row, 0, err
	}
	if err := json.Unmarshal(page.Entries[0].Value, &row); err != nil {
		r.log.WithError(err).WithField("service", service).Error("stored software versions can't be decoded; they are ignored")
		return recordRow{}, page.Entries[0].Version, nil
	}
	return row, page.Entries[0].Version, nil
}

// restore adds the stored record of the service to the history, for a caller that waits.
func (r *records) restore(ctx context.Context, service string) {
	r.restoring.Lock()
	defer r.restoring.Unlock()
	readAt := time.Now()
	r.resumer.mu.Lock()
	isKnown := r.resumer.history.IsKnownSince(r.restored[service])
	r.resumer.mu.Unlock()
	if isKnown && readAt.Sub(r.restored[service]) < restorePause {
		return
	}
	r.restored[service] = readAt
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	row, version, err := r.read(ctx, service)
	if err != nil {
		r.log.WithError(err).WithField("service", service).Warn("software versions of the service not read")
		return
	}
	if version == 0 {
		return
	}
	r.resumer.mu.Lock()
	defer r.resumer.mu.Unlock()
	now := time.Now()
	r.resumer.history.Restore(now, service, row.record(now), readAt)
}
