package prove

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// proxy forwards connections to an address while it is not cut.
type proxy struct {
	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
	to    netip.AddrPort
}

func newProxy(t *testing.T, to netip.AddrPort) (*proxy, netip.AddrPort) {
	t.Helper()
	addr := freeAddress(t)
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &proxy{conns: map[net.Conn]struct{}{}, to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, addr
}

func (p *proxy) forward(from net.Conn) {
	to, err := net.Dial("tcp", p.to.String())
	if err != nil || !p.track(from, to) {
		_ = from.Close()
		return
	}
	go func() {
		_, _ = io.Copy(to, from)
		_ = to.Close()
	}()
	_, _ = io.Copy(from, to)
	_ = from.Close()
}

// track registers the connections and reports whether they may stay open.
func (p *proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
	return !p.isCut
}

// setCut closes all connections and refuses new ones while isCut.
func (p *proxy) setCut(isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = isCut
	for c := range p.conns {
		_ = c.Close()
	}
	p.conns = map[net.Conn]struct{}{}
}

// TestRegionWithoutTheStore disconnects the VM of one region from the store for a while.
func TestRegionWithoutTheStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2, engines: 1, segmentItems: 10})
	link, addr := newProxy(t, f.platform)
	far := f.startVMIn("vm-far", "norr", addr, 10)
	f.awaitReady(far)
	f.await("all VMs count each other as live", func() bool { return f.liveMembers(far) == 3 && f.liveMembers(f.vms[0]) == 3 })
	link.setCut(true)

	requireComplete(t, f.chat(far, "A card", 5), "A card", 5)
	a := f.book(far, "k1", "kiln 1")
	assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
	assert.Equal(t, "notRun", a.outcome)
	assert.NotEmpty(t, a.retry)
	batch := f.do(far, call{
		method: http.MethodPost, path: "/v1/batches", key: kilnKey,
		body: `{"input_file_id":"file-x","endpoint":"/v1/chat/completions","completion_window":"1h"}`,
	})
	assert.Equal(t, "notRun", batch.outcome, batch.body)
	assert.Empty(t, f.ledger())

	out, err := f.cli(f.vms[0], operatorKey, "preset", "use", "peak")
	require.NoError(t, err, "a peer forwards the revision: %s", out)
	assert.EqualValues(t, 2, f.revision(far))

	link.setCut(false)
	f.await("the booking runs when the store is reachable again", func() bool {
		return f.book(far, "k1", "kiln 1").status == http.StatusCreated
	})
	assert.Equal(t, map[string]int{"kiln 1": 1}, f.ledger())
	id := f.submit(far, f.writeBatch(20, 5))
	f.requireBatchComplete(far, id, 20, 5, 0)
}
