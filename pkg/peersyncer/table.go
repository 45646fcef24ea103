package peersyncer

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/distributor"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watchdog"
)

const (
	// largeRows is the number of rows of a page of the store: a table with more is read from other VMs. Below smallRows it is read
	// from the store again.
	largeRows = 500
	smallRows = 400
	// followWait bounds the wait of a call for changes, to the store or a peer, so that the age of what a VM knows stays low.
	followWait = 300 * time.Millisecond
	// followSlack is added to the wait: a round trip within a region, and a source that is busy. It also bounds the time between
	// two parts of the answer, and followLimit a whole call.
	followSlack = 400 * time.Millisecond
	followLimit = 5 * time.Second
	// snapshotWait is how long a source may take to read the table itself before it passes it on, snapshotTimeout how long the
	// beginning of its answer may take.
	snapshotWait    = 1500 * time.Millisecond
	snapshotTimeout = 2500 * time.Millisecond
	// probeWait is the wait up to which a call asks whether the store is there, which no peer can answer.
	probeWait = 10 * time.Millisecond
	// maxSteps bounds the choices of one call.
	maxSteps = 40
	// listWait bounds the wait for the list of VMs at the start.
	listWait = 500 * time.Millisecond
)

// Fleet tells the VM's place among the VMs of its region.
type Fleet interface {
	// Place returns the VM's place in the distribution of tables; false if the list of VMs is not known yet.
	Place() (distributor.Place, bool)
	// AddressOf returns the address of the VM; false if it is unknown.
	AddressOf(vm string) (netip.AddrPort, bool)
}

// Caller calls Follow at another VM. The watchdog of the context, if any, learns of the answer's progress.
type Caller interface {
	Follow(ctx context.Context, addr netip.AddrPort, q FollowRequest) (FollowReply, error)
}

// Table is a table service in which one table is read from other VMs while it has many rows, or while the region has many VMs.
//
// It passes all other calls to the store as they are, and all calls while neither holds.
type Table struct {
	storer.Table
	name string
	// hasLargeRow says that the number of VMs decides, and not the number of rows.
	hasLargeRow bool
	fleet       Fleet
	caller      Caller
	log         logrus.FieldLogger

	isLarge atomic.Bool
	// onLarge is called when isLarge changes.
	onLarge func(isLarge bool)
	// asOf is the time as of which all changes acknowledged by the store are known; nil if the table was not read yet.
	asOf atomic.Pointer[time.Time]

	mu       sync.Mutex
	follower *distributor.Follower

	// Counters can be read from any goroutine.
	Counters TableCounters
}

// TableCounters count calls by source, rows by source, and the failures of peers.
type TableCounters struct {
	StoreCalls, StoreRows, PeerCalls, PeerRows, PeerBytes, PeerFailures, SourceChanges atomic.Int64
}

// TableConfig describes the table that is read from other VMs.
type TableConfig struct {
	// Name is the table's name, Zone this VM's availability zone.
	Name, Zone string
	// HasLargeRow says that the table has a row that is large: it is read from other VMs if the region has many of them, and the
	// fields below are not used.
	HasLargeRow bool
	// IsLarge says that the table was large for an earlier process of this VM.
	IsLarge bool
	// OnLarge is called when the table becomes large or small; it must not block.
	OnLarge func(isLarge bool)
}

// NewTable returns a table service on top of the store.
func NewTable(c TableConfig, store storer.Table, fleet Fleet, caller Caller, log logrus.FieldLogger) *Table {
	t := &Table{
		Table: store, name: c.Name, hasLargeRow: c.HasLargeRow, fleet: fleet, caller: caller, onLarge: c.OnLarge,
		log: log.WithField("table", c.Name), follower: distributor.NewFollower(c.Zone),
	}
	t.isLarge.Store(c.IsLarge)
	return t
}

// Direct returns the store itself, for reads that must not be of an older state than the store's.
func (t *Table) Direct() storer.Table {
	if inner, ok := t.Table.(*Table); ok {
		return inner.Direct()
	}
	return t.Table
}

// isShared reports whether the table is read from other VMs.
func (t *Table) isShared() bool {
	if !t.hasLargeRow {
		return t.isLarge.Load()
	}
	place, ok := t.fleet.Place()
	return ok && place.IsCrowded()
}

// ObserveRows tells how many rows the table has.
func (t *Table) ObserveRows(n int) {
	switch {
	case n > largeRows:
		t.setLarge(true)
	case n > 0 && n < smallRows && t.Age(time.Now()) < math.MaxInt64:
		t.setLarge(false)
	}
}

func (t *Table) setLarge(isLarge bool) {
	if t.isLarge.Swap(isLarge) == isLarge {
		return
	}
	t.log.WithField("isLarge", isLarge).Info("table is read from other VMs if it is large, else from the store alone")
	t.onLarge(isLarge)
}

// Age returns the time since which changes acknowledged by the store may be unknown, or the maximum duration if the table was
// not read yet.
func (t *Table) Age(now time.Time) time.Duration {
	at := t.asOf.Load()
	if at == nil {
		return math.MaxInt64
	}
	// Only the wall clock counts the time in which the VM was suspended, and only the other one is never set back.
	return max(now.Sub(*at), now.Round(0).Sub(at.Round(0)), 0)
}

// Source returns the VM that the table is read from; empty if it is read from the store.
func (t *Table) Source() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.follower.Source()
}

func (t *Table) recordAge(at time.Time) {
	if old := t.asOf.Load(); old == nil || at.After(*old) {
		t.asOf.Store(&at)
	}
}

// Scan reads a page of a range; for the large table, the page may hold all rows.
func (t *Table) Scan(ctx context.Context, r storer.Range) (storer.Page, error) {
	if r.Table != t.name {
		return t.Table.Scan(ctx, r)
	}
	if r.From != "" {
		return t.scanStore(ctx, r)
	}
	if t.hasLargeRow {
		t.awaitPlace(ctx)
	}
	if !t.isShared() {
		page, err := t.scanStore(ctx, r)
		if err != nil || !page.HasMore || t.hasLargeRow {
			return page, err
		}
		t.setLarge(true)
		if all, ok := t.snapshot(ctx); ok {
			return all, nil
		}
		return page, nil
	}
	if all, ok := t.snapshot(ctx); ok {
		return all, nil
	}
	return t.scanStore(ctx, r)
}

func (t *Table) scanStore(ctx context.Context, r storer.Range) (storer.Page, error) {
	sentAt := time.Now()
	t.Counters.StoreCalls.Add(1)
	page, err := t.Table.Scan(ctx, r)
	if err != nil {
		return page, err
	}
	t.Counters.StoreRows.Add(int64(len(page.Entries)))
	if !page.HasMore {
		// Its version is that of the first page, whose call was sent earlier; the next watch tells the exact age.
		t.recordAge(sentAt)
		t.answeredByStore()
	}
	return page, nil
}

func (t *Table) answeredByStore() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.follower.AnsweredByStore()
}

// snapshot reads all rows from a peer; false if the store is to be read.
func (t *Table) snapshot(ctx context.Context) (storer.Page, bool) {
	t.awaitPlace(ctx)
	wait, timeout := snapshotWait, snapshotTimeout
	if t.hasLargeRow {
		// A VM serves nobody before it has the row, and a source that is silent must not keep it long.
		wait, timeout = followWait, followWait+followSlack
	}
	reply, ok := t.ask(ctx, FollowRequest{IsFull: true, WaitMs: wait.Milliseconds()}, timeout)
	if !ok {
		return storer.Page{}, false
	}
	return t.pageOf(reply), true
}

// awaitPlace waits until the list of VMs is known, at most for listWait.
func (t *Table) awaitPlace(ctx context.Context) {
	for end := time.Now().Add(listWait); time.Now().Before(end); {
		if _, ok := t.fleet.Place(); ok || !sleeper.Sleep(ctx, followWait/10) {
			return
		}
	}
}

// Watch returns the table's changes after a version, from the store or a peer.
func (t *Table) Watch(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	if table != t.name {
		return t.Table.Watch(ctx, table, after, wait)
	}
	if !t.isShared() || wait <= probeWait {
		return t.watchStore(ctx, after, wait)
	}
	wait = min(wait, followWait)
	reply, ok := t.ask(ctx, FollowRequest{After: after, WaitMs: wait.Milliseconds()}, wait+followSlack)
	if !ok {
		return t.watchStorePages(ctx, after, wait)
	}
	if reply.IsLost {
		return storer.Page{}, &storer.HistoryLostError{Table: table, After: after}
	}
	return t.pageOf(reply), nil
}

func (t *Table) watchStore(ctx context.Context, after int64, wait time.Duration) (storer.Page, error) {
	t.Counters.StoreCalls.Add(1)
	page, err := t.Table.Watch(ctx, t.name, after, wait)
	if err != nil {
		return page, err
	}
	t.Counters.StoreRows.Add(int64(len(page.Entries)))
	if !page.HasMore {
		t.recordAge(time.Now())
		t.answeredByStore()
	}
	return page, nil
}

// watchStorePages reads changes from the store until there are no more: followers would wait for the rest of them.
func (t *Table) watchStorePages(ctx context.Context, after int64, wait time.Duration) (storer.Page, error) {
	page, err := t.watchStore(ctx, after, wait)
	for err == nil && page.HasMore {
		more, moreErr := t.watchStore(ctx, page.Version, probeWait)
		if moreErr != nil {
			// What has arrived is passed on; the next call reports the failure again.
			break
		}
		more.Entries = append(page.Entries, more.Entries...)
		page = more
	}
	return page, err
}

// ask asks peers in turn; false if the store is to be read.
func (t *Table) ask(ctx context.Context, q FollowRequest, timeout time.Duration) (FollowReply, bool) {
	for range maxSteps {
		place, _ := t.fleet.Place()
		t.mu.Lock()
		choice := t.follower.Choose(time.Now(), place, q.IsFull)
		t.mu.Unlock()
		switch c := choice.(type) {
		case distributor.FromStore:
			return FollowReply{}, false
		case distributor.Wait:
			if !sleeper.Sleep(ctx, c.For) {
				return FollowReply{}, false
			}
		case distributor.FromPeer:
			if reply, ok := t.askPeer(ctx, c.VM, q, timeout); ok {
				return reply, true
			}
		}
	}
	return FollowReply{}, false
}

func (t *Table) askPeer(ctx context.Context, vm string, q FollowRequest, timeout time.Duration) (FollowReply, bool) {
	former := t.Source()
	reply, err := t.call(ctx, vm, q, timeout)
	now := time.Now()
	age := time.Duration(reply.AgeMs) * time.Millisecond
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.follower.Failed(now, vm)
	} else if !t.follower.Answered(now, vm, reply.Zone, age) {
		err = errors.Errorf("its knowledge is %s old", age)
	}
	if err != nil {
		t.Counters.PeerFailures.Add(1)
		t.log.WithError(err).WithField("peer", vm).Info("peer did not pass the table on; asking another one or the store")
		return FollowReply{}, false
	}
	t.recordAge(now.Add(-age))
	t.Counters.PeerCalls.Add(1)
	t.Counters.PeerRows.Add(int64(len(reply.Rows)))
	t.Counters.PeerBytes.Add(reply.bytes)
	if former != vm {
		t.Counters.SourceChanges.Add(1)
		t.log.WithFields(logrus.Fields{"peer": vm, "zone": reply.Zone, "former": former}).Info("table is read from this peer")
	}
	return reply, true
}

func (t *Table) call(ctx context.Context, vm string, q FollowRequest, timeout time.Duration) (FollowReply, error) {
	addr, ok := t.fleet.AddressOf(vm)
	if !ok {
		return FollowReply{}, errors.New("its address is unknown")
	}
	ctx, dog := watchdog.Start(ctx, watchdog.Limits{Answer: timeout, Stall: followSlack, Total: followLimit})
	defer dog.Stop()
	reply, err := t.caller.Follow(ctx, addr, q)
	if err != nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return reply, err
}

// pageOf returns the page that another VM passed on.
func (t *Table) pageOf(r FollowReply) storer.Page {
	age := time.Duration(r.AgeMs) * time.Millisecond
	return storer.Page{Entries: t.entriesOf(r), Version: r.Version, Age: option.Some(age)}
}

func (t *Table) entriesOf(r FollowReply) []storer.Entry {
	entries := make([]storer.Entry, 0, len(r.Rows))
	for _, row := range r.Rows {
		entries = append(entries, storer.Entry{
			Table: t.name, Key: row.Key, Value: row.Value, Version: row.Version, IsRemoved: row.IsRemoved,
		})
	}
	return entries
}
