package peersyncer

import (
	"cmp"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/distributor"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watchdog"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// callTime is the time that the store takes for a call, regionDelay that of a message to the other region, zoneDelay within
	// one.
	callTime    = 4 * time.Millisecond
	regionDelay = 40 * time.Millisecond
	zoneDelay   = time.Millisecond
	// storeTimeout bounds the wait for an answer of the store, watchSlack what a watch takes beyond its wait and the time between
	// two parts of an answer, storeLimit a whole call.
	storeTimeout = 1500 * time.Millisecond
	watchSlack   = 700 * time.Millisecond
	storeLimit   = 15 * time.Second
	// pageRows is the largest page of the store, rowOverhead what a row has on the wire besides its value.
	pageRows    = 500
	rowOverhead = 90
)

// Parts of a message that a link carries before it turns to the next one: it serves messages in turns, as senders that share it
// fairly do, or whole, as one queue does.
const (
	inTurns = 16_000
	inQueue = 1 << 30
)

// wire is a link between VMs.
type wire struct {
	bitsPerSecond float64
	part          int
	bytes         atomic.Int64
	// turn holds a value while a message is carried; those that wait get their turns in order.
	turn chan struct{}
}

func newWire(bitsPerSecond float64, part int) *wire {
	return &wire{bitsPerSecond: bitsPerSecond, part: part, turn: make(chan struct{}, 1)}
}

// carry waits until the bytes have passed. If ctx ends before, the rest of them is not sent.
func (w *wire) carry(ctx context.Context, bytes int) error {
	for bytes > 0 {
		select {
		case w.turn <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		n := min(bytes, w.part)
		w.bytes.Add(int64(n))
		time.Sleep(time.Duration(float64(n) * 8 / w.bitsPerSecond * float64(time.Second)))
		<-w.turn
		if dog := watchdog.Of(ctx); dog != nil {
			dog.Received(n)
		}
		bytes -= n
	}
	return ctx.Err()
}

// versionedStore is a table service in memory with a history that covers everything since forgotten.
type versionedStore struct {
	mu        sync.Mutex
	version   int64
	forgotten int64
	rows      map[string]map[string]storer.Entry
	history   map[string][]storer.Entry
	changed   chan struct{}
}

func newVersionedStore() *versionedStore {
	return &versionedStore{
		rows: map[string]map[string]storer.Entry{}, history: map[string][]storer.Entry{}, changed: make(chan struct{}),
	}
}

func (s *versionedStore) write(e storer.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	e.Version = s.version
	if s.rows[e.Table] == nil {
		s.rows[e.Table] = map[string]storer.Entry{}
	}
	if e.IsRemoved {
		delete(s.rows[e.Table], e.Key)
	} else {
		s.rows[e.Table][e.Key] = e
	}
	s.history[e.Table] = append(s.history[e.Table], e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *versionedStore) put(table, key string, value []byte) {
	s.write(storer.Entry{Table: table, Key: key, Value: value})
}

func (s *versionedStore) remove(table, key string) {
	s.write(storer.Entry{Table: table, Key: key, IsRemoved: true})
}

func (s *versionedStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.version
}

func (s *versionedStore) scan(r storer.Range) storer.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := storer.Page{Version: s.version}
	for key, e := range s.rows[r.Table] {
		if key >= r.From {
			page.Entries = append(page.Entries, e)
		}
	}
	slices.SortFunc(page.Entries, func(a, b storer.Entry) int { return cmp.Compare(a.Key, b.Key) })
	page.HasMore = len(page.Entries) > pageRows
	page.Entries = page.Entries[:min(len(page.Entries), pageRows)]
	return page
}

// after returns the newest state of the rows that changed after a version, and the channel that signals later changes.
func (s *versionedStore) after(table string, after int64) (storer.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgotten {
		return storer.Page{}, nil, &storer.HistoryLostError{Table: table, After: after}
	}
	page := storer.Page{Version: s.version}
	h := s.history[table]
	from, _ := slices.BinarySearchFunc(h, after+1, func(e storer.Entry, v int64) int { return cmp.Compare(e.Version, v) })
	page.Entries = slices.Clone(h[from:])
	if len(page.Entries) > pageRows {
		page.Entries, page.HasMore = page.Entries[:pageRows], true
		page.Version = page.Entries[pageRows-1].Version
	}
	return page, s.changed, nil
}

// testVM is a VM of a testFleet.
type testVM struct {
	fleet  *testFleet
	name   string
	zone   string
	region int
	// wire is the VM's own link.
	wire    *wire
	table   *Table
	watcher *watcher.Watcher
	follows *follows
	// config is the table of the configuration, configFollows its followers.
	config        *Table
	configFollows *follows
	configAt      map[int64]time.Time
	mu            sync.Mutex
	// isDown refuses the calls of others, isFrozen does not answer them, isCutOff fails all calls of the VM itself.
	// isCutOffFromStore fails its calls to the store.
	isDown, isFrozen, isCutOff, isCutOffFromStore atomic.Bool
	// isEarlier makes it a VM of a build that passes no configuration on.
	isEarlier atomic.Bool
}

// testFleet is VMs that follow the tables of a store in region 0, in one process.
type testFleet struct {
	store *versionedStore
	// link is the link between the regions.
	link *wire
	vms  []*testVM
	// startedAt is the beginning of the clock since boot.
	startedAt time.Time
}

// now returns the time since boot.
func (f *testFleet) now() time.Duration { return time.Since(f.startedAt) + time.Hour }

// storeOf is the store as a VM reaches it.
type storeOf struct {
	storer.Table
	vm *testVM
}

func (s storeOf) Scan(ctx context.Context, r storer.Range) (storer.Page, error) {
	ctx, dog := watchdog.Start(ctx, watchdog.Limits{Answer: storeTimeout, Stall: watchSlack, Total: storeLimit})
	defer dog.Stop()
	if err := s.vm.travel(ctx); err != nil {
		return storer.Page{}, err
	}
	page := s.vm.fleet.store.scan(r)
	return page, s.vm.receive(ctx, page)
}

func (s storeOf) Watch(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	ctx, dog := watchdog.Start(ctx, watchdog.Limits{Answer: wait + watchSlack, Stall: watchSlack, Total: storeLimit})
	defer dog.Stop()
	if err := s.vm.travel(ctx); err != nil {
		return storer.Page{}, err
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		page, changed, err := s.vm.fleet.store.after(table, after)
		if err != nil || len(page.Entries) > 0 {
			return page, cmp.Or(err, s.vm.receive(ctx, page))
		}
		select {
		case <-changed:
		case <-limit.C:
			return page, s.vm.receive(ctx, page)
		case <-ctx.Done():
			return storer.Page{}, &storer.UnavailableError{Operation: "watch", Cause: ctx.Err()}
		}
	}
}

// travel waits until a call has reached the store.
func (v *testVM) travel(ctx context.Context) error {
	if v.isCutOff.Load() || v.isCutOffFromStore.Load() {
		return &storer.UnavailableError{Operation: "call", Cause: errors.New("cut off")}
	}
	if !sleeper.Sleep(ctx, callTime+v.storeDelay()) {
		return &storer.UnavailableError{Operation: "call", Cause: ctx.Err()}
	}
	return nil
}

func (v *testVM) storeDelay() time.Duration {
	if v.region == 0 {
		return zoneDelay
	}
	return regionDelay
}

// receive waits until a page has reached the VM.
func (v *testVM) receive(ctx context.Context, page storer.Page) error {
	bytes := 60
	for _, e := range page.Entries {
		bytes += rowOverhead + len(e.Key) + base64.StdEncoding.EncodedLen(len(e.Value))
	}
	if v.region != 0 {
		if err := v.fleet.link.carry(ctx, bytes); err != nil {
			return &storer.UnavailableError{Operation: "call", Cause: err}
		}
	}
	if err := v.wire.carry(ctx, bytes); err != nil || !sleeper.Sleep(ctx, v.storeDelay()) {
		return &storer.UnavailableError{Operation: "call", Cause: errors.New("time-out")}
	}
	return nil
}

// Place implements Fleet.
func (v *testVM) Place() (distributor.Place, bool) {
	var names []string
	for _, o := range v.fleet.vms {
		if o.region == v.region {
			names = append(names, o.name)
		}
	}
	return distributor.PlaceOf(v.name, len(names), names), true
}

// AddressOf implements Fleet: the port is the VM's index.
func (v *testVM) AddressOf(vm string) (netip.AddrPort, bool) {
	i := slices.IndexFunc(v.fleet.vms, func(o *testVM) bool { return o.name == vm })
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1)), i >= 0
}

// Follow implements Caller.
func (v *testVM) Follow(ctx context.Context, addr netip.AddrPort, q FollowRequest) (FollowReply, error) {
	o := v.fleet.vms[addr.Port()-1]
	return v.follow(ctx, o, o.follows, q)
}

// configCaller calls Follow for the configuration.
type configCaller struct{ vm *testVM }

func (c configCaller) Follow(ctx context.Context, addr netip.AddrPort, q FollowRequest) (FollowReply, error) {
	o := c.vm.fleet.vms[addr.Port()-1]
	if o.isEarlier.Load() {
		return FollowReply{}, status.Error(codes.Unimplemented, "unknown method")
	}
	return c.vm.follow(ctx, o, o.configFollows, q)
}

// follow calls another VM, which answers from what it passes on.
func (v *testVM) follow(ctx context.Context, o *testVM, f *follows, q FollowRequest) (FollowReply, error) {
	if o.isDown.Load() || v.isCutOff.Load() {
		return FollowReply{}, errors.New("connection refused")
	}
	if o.isFrozen.Load() {
		<-ctx.Done()
		return FollowReply{}, ctx.Err()
	}
	r, err := f.follow(ctx, q)
	if err != nil {
		return r, err
	}
	bytes := 60 + len(r.Packed)
	for _, w := range []*wire{o.wire, v.wire} {
		if err := w.carry(ctx, bytes); err != nil {
			return r, err
		}
	}
	return r, r.unpack()
}

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	return log
}

func decodeTestConfig(b []byte) (*registrar.Config, error) {
	c := &registrar.Config{}
	_, err := fmt.Sscanf(string(b[:min(len(b), 20)]), "%d", &c.Version)
	return c, err
}

// decodeTestEndpoint decodes the state of an endpoint only: "ready" or "draining" at the start of its row.
func decodeTestEndpoint(id string, b []byte, version int64) (registrar.Endpoint, error) {
	return registrar.Endpoint{ID: id, Service: "s", IsDraining: b[0] == 'd', StartedAtMs: int64(b[1]), Version: version}, nil
}

// newTestFleet returns VMs in two regions; links of 22 to 600 Mbit/s and zones alternate. Without readers, each VM reads the
// store.
func newTestFleet(store *versionedStore, perRegion [2]int, hasReaders bool) *testFleet {
	f := &testFleet{store: store, link: newWire(60e6, inTurns), startedAt: time.Now()}
	rates := []float64{22e6, 60e6, 150e6, 600e6}
	for region, n := range perRegion {
		for i := range n {
			v := &testVM{
				fleet: f, name: fmt.Sprintf("vm-%d-%d", region, i), region: region, configAt: map[int64]time.Time{},
				wire: newWire(rates[i%len(rates)], inTurns),
			}
			f.vms = append(f.vms, v)
			v.zone = fmt.Sprintf("zone-%d-%d", region, i%3)
			var table storer.Table = storeOf{vm: v}
			if hasReaders {
				c := TableConfig{Name: "endpoints", Zone: v.zone, IsLarge: true, OnLarge: func(bool) {}}
				v.table = NewTable(c, table, v, v, quietLog())
				table = v.table
			}
			if hasReaders {
				c := TableConfig{Name: "config", Zone: v.zone, HasLargeRow: true}
				v.config = NewTable(c, table, v, configCaller{v}, quietLog())
				table = v.config
			}
			v.watcher = watcher.New(table, watcher.Decoder{
				ConfigTable: "config", ConfigKey: "c", EndpointTable: "endpoints",
				Config: decodeTestConfig, Endpoint: decodeTestEndpoint,
			}, v.observe, quietLog())
			v.watcher.SetClock(f.now)
			v.follows = newFollows(endpoints{v.watcher, v.table}, v.zone)
			v.configFollows = newFollows(configuration{v.watcher, f.now}, v.zone)
			v.configFollows.isFromArrival = true
		}
	}
	return f
}

func (v *testVM) observe(r *registrar.Registry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.Config != nil {
		if _, ok := v.configAt[r.Config.Version]; !ok {
			v.configAt[r.Config.Version] = time.Now()
		}
	}
}

func (f *testFleet) start(ctx context.Context) {
	for _, v := range f.vms {
		v.watcher.Start(ctx)
	}
}

// until waits until all VMs but those excluded are done, and returns how long that took; false after the limit.
func (f *testFleet) until(limit time.Duration, done func(*testVM) bool, except ...*testVM) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		if !slices.ContainsFunc(f.vms, func(v *testVM) bool { return !slices.Contains(except, v) && !done(v) }) {
			return time.Since(start), true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return limit, false
}

func (v *testVM) hasEndpoints(n int) bool { return len(v.watcher.Current().Endpoints) == n }

func (v *testVM) isUsable(id string) bool {
	e, ok := v.watcher.Current().Endpoints[id]
	return ok && !e.IsDraining
}

// putEndpoint writes the row of an endpoint; generation tells its rows apart.
func (s *versionedStore) putEndpoint(i int, state byte, generation int) {
	value := append([]byte{state, byte(generation)}, endpointValue(i)...)
	s.put("endpoints", endpointID(i), value)
}

func endpointID(i int) string { return fmt.Sprintf("i-%010x", i*7919) }

// putConfig writes a configuration of 10 kB.
func (s *versionedStore) putConfig(version int) {
	s.put("config", "c", fmt.Appendf(nil, "%-10000d", version))
}

// describe names what went wrong for a VM.
func (f *testFleet) describe(t *testing.T) {
	t.Helper()
	for _, v := range f.vms {
		t.Logf("%s: %d endpoints, source %q, age %s",
			v.name, len(v.watcher.Current().Endpoints), v.table.Source(), v.table.Age(time.Now()))
	}
}
