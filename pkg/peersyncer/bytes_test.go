package peersyncer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

// manyEndpoints is the number of endpoints of the largest deployment.
const manyEndpoints = 3003

// memoryTable is a table service in memory; its calls fail while it is down, and its configuration does not change for readers
// while configIsStuck.
type memoryTable struct {
	storer.Table

	mu            sync.Mutex
	isDown        bool
	configIsStuck bool
	version       int64
	rows          map[string]storer.Entry
}

func (t *memoryTable) put(table, key string, value []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.rows[table+"/"+key] = storer.Entry{Table: table, Key: key, Value: value, Version: t.version}
}

func (t *memoryTable) set(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

func (t *memoryTable) page(table string, after int64) (storer.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isDown {
		return storer.Page{}, &storer.UnavailableError{Operation: "read"}
	}
	page := storer.Page{Version: t.version}
	for _, e := range t.rows {
		if e.Table == table && e.Version > after && (!t.configIsStuck || table != "config") {
			page.Entries = append(page.Entries, e)
		}
	}
	return page, nil
}

func (t *memoryTable) Scan(_ context.Context, r storer.Range) (storer.Page, error) {
	return t.page(r.Table, 0)
}

func (t *memoryTable) Watch(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	for end := time.Now().Add(wait); ; {
		page, err := t.page(table, after)
		if err != nil || len(page.Entries) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return page, err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// endpointValue is as long as the value of an endpoint's row on the platform.
func endpointValue(i int) []byte {
	return fmt.Appendf(nil, `{"service":"svc-%d","address":"10.%d.%d.%d:8088","zone":"syd-%c","slots":8,"state":"ready",`+
		`"coldLeftMs":0,"seq":%d,"born":1764892%06d,"version":"v2026.11.%d","kvCapacity":%d}`,
		i%5, i%7, i/250, i%250, 'a'+rune(i%3), i*31, i*313%1000000, i%3, 72_000+i*7)
}

func newMemoryTable(endpoints int) *memoryTable {
	t := &memoryTable{rows: map[string]storer.Entry{}}
	for i := range endpoints {
		t.put("endpoints", fmt.Sprintf("i-%010x", i*7919), endpointValue(i))
	}
	t.put("config", "c", []byte("1"))
	return t
}

// proxy is a connection between two VMs that counts the bytes from the serving one.
type proxy struct {
	addr  netip.AddrPort
	bytes atomic.Int64
}

func newProxy(t *testing.T, to netip.AddrPort) *proxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &proxy{addr: l.Addr().(*net.TCPAddr).AddrPort()}
	go p.run(l, to)
	return p
}

func (p *proxy) run(l net.Listener, to netip.AddrPort) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp4", to.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		go func() { _, _ = io.Copy(server, client); _ = server.Close() }()
		go func() { _, _ = io.Copy(countingWriter{client, &p.bytes}, server); _ = client.Close() }()
	}
}

type countingWriter struct {
	io.Writer
	bytes *atomic.Int64
}

func (w countingWriter) Write(b []byte) (int, error) {
	w.bytes.Add(int64(len(b)))
	return w.Writer.Write(b)
}

// onePeer is a fleet in which one other VM is known.
type onePeer struct{ addr netip.AddrPort }

func (p onePeer) AnyPeer() (netip.AddrPort, bool)         { return p.addr, p.addr.IsValid() }
func (p onePeer) AddressOf(string) (netip.AddrPort, bool) { return p.addr, p.addr.IsValid() }
func (p onePeer) IsNear(string) bool                      { return true }

func newTestWatcher(t *testing.T, table storer.Table) *watcher.Watcher {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	w := watcher.New(table, watcher.Decoder{
		ConfigTable: "config", ConfigKey: "c", EndpointTable: "endpoints",
		Config: func(b []byte) (*registrar.Config, error) { return &registrar.Config{Version: int64(b[0])}, nil },
		Endpoint: func(id string, b []byte, version int64) (registrar.Endpoint, error) {
			return registrar.Endpoint{ID: id, Service: string(b[:20]), Version: version}, nil
		},
	}, func(*registrar.Registry) {}, log)
	w.Start(t.Context())
	return w
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// newTestSyncer starts a VM's syncer that fetches from the peer, if its address is valid, and returns its own address.
func newTestSyncer(t *testing.T, w *watcher.Watcher, peer netip.AddrPort) (*Syncer, netip.AddrPort) {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	addr := freeAddress(t)
	s := New(addr, w, onePeer{peer}, log)
	require.NoError(t, s.Start(t.Context()))
	return s, addr
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	require.Eventually(t, done, 10*time.Second, 5*time.Millisecond, what)
}

// TestNewerConfigurationIsFetchedAlone guards against a late configuration that brings the rows of all endpoints with it: when
// many VMs are late, these megabytes fill the links that the configuration is late on.
func TestNewerConfigurationIsFetchedAlone(t *testing.T) {
	peerTable, ownTable := newMemoryTable(manyEndpoints), newMemoryTable(manyEndpoints)
	peer, own := newTestWatcher(t, peerTable), newTestWatcher(t, ownTable)
	waitFor(t, "both have the first configuration", func() bool {
		return peer.Current().IsReady() && own.Current().IsReady()
	})
	_, addr := newTestSyncer(t, peer, netip.AddrPort{})
	link := newProxy(t, addr)
	s, _ := newTestSyncer(t, own, link.addr)
	ownTable.set(func() { ownTable.configIsStuck = true })
	peerTable.put("config", "c", []byte("2"))
	waitFor(t, "peer has the configuration", func() bool { return peer.Current().Config.Version == '2' })
	s.ConfigLearned(peer.Current().ConfigRow.Version, "peer")
	waitFor(t, "VM has the configuration", func() bool { return own.Current().Config.Version == '2' })
	assert.Equal(t, "peer", own.Current().ConfigRow.Source)
	t.Logf("%d bytes from the peer", link.bytes.Load())
	assert.Less(t, link.bytes.Load(), int64(4096))
}

// TestOutageIsNotSpentOnRowsThatAreKnown guards against VMs without the store that send each other all rows twice a second.
func TestOutageIsNotSpentOnRowsThatAreKnown(t *testing.T) {
	peerTable, ownTable := newMemoryTable(manyEndpoints), newMemoryTable(manyEndpoints)
	peer, own := newTestWatcher(t, peerTable), newTestWatcher(t, ownTable)
	waitFor(t, "both have the endpoints", func() bool { return peer.Current().IsReady() && own.Current().IsReady() })
	_, addr := newTestSyncer(t, peer, netip.AddrPort{})
	link := newProxy(t, addr)
	newTestSyncer(t, own, link.addr)
	ownTable.set(func() { ownTable.isDown = true })
	waitFor(t, "store is lost", own.IsLost)
	peerTable.put("endpoints", "new", endpointValue(1))
	peerTable.put("config", "c", []byte("2"))
	waitFor(t, "VM hears of the new endpoint and the configuration", func() bool {
		_, ok := own.Current().Endpoints["new"]
		return ok && own.Current().Config.Version == '2'
	})
	time.Sleep(4 * fetchInterval)
	t.Logf("%d bytes from the peer", link.bytes.Load())
	assert.Less(t, link.bytes.Load(), int64(32_768))
}

// TestVMWithoutRowsGetsAllCompressed checks that a VM that starts without the store gets all rows, in a fraction of their bytes.
func TestVMWithoutRowsGetsAllCompressed(t *testing.T) {
	peer := newTestWatcher(t, newMemoryTable(manyEndpoints))
	ownTable := newMemoryTable(0)
	ownTable.isDown = true
	own := newTestWatcher(t, ownTable)
	waitFor(t, "peer has the endpoints", func() bool { return peer.Current().IsReady() })
	_, addr := newTestSyncer(t, peer, netip.AddrPort{})
	link := newProxy(t, addr)
	newTestSyncer(t, own, link.addr)
	waitFor(t, "VM has the endpoints", func() bool { return len(own.Current().Endpoints) == manyEndpoints })
	t.Logf("%d bytes from the peer", link.bytes.Load())
	assert.Less(t, link.bytes.Load(), int64(300_000))
}

// TestPeerOfAnEarlierBuildSendsAllRows checks that a VM can still fetch from a peer that does not know the call for news.
func TestPeerOfAnEarlierBuildSendsAllRows(t *testing.T) {
	peer := newTestWatcher(t, newMemoryTable(20))
	ownTable := newMemoryTable(0)
	ownTable.isDown = true
	own := newTestWatcher(t, ownTable)
	waitFor(t, "peer has the endpoints", func() bool { return peer.Current().IsReady() })
	newTestSyncer(t, own, newEarlierPeer(t, peer))
	waitFor(t, "VM has the endpoints", func() bool { return len(own.Current().Endpoints) == 20 })
	assert.True(t, own.Current().IsReady())
}
