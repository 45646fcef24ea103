package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// linkFault is a fault of the connections through a proxy.
type linkFault int

const (
	linkHealthy linkFault = iota
	// linkSlow delays each read by linkDelay; linkReset resets connections; linkSilent holds back all bytes.
	linkSlow
	linkReset
	linkSilent
	// linkSilentToVM holds back only bytes sent to the VM; linkSilentFromVM only bytes sent by it.
	linkSilentToVM
	linkSilentFromVM
)

const (
	linkDelay   = 120 * time.Millisecond
	bufferBytes = 16 << 10
)

// proxy forwards connections on loopback to a target.
type proxy struct {
	target netip.AddrPort
	socket *net.TCPListener

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]struct{}
	// silenced holds the connections that no longer forward anything, nor end.
	silenced map[net.Conn]struct{}
	// changed is closed and replaced when the fault changes.
	changed chan struct{}
}

func newProxy(t testing.TB, target netip.AddrPort) *proxy {
	t.Helper()
	socket, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	p := &proxy{
		target: target, socket: socket, conns: map[net.Conn]struct{}{}, silenced: map[net.Conn]struct{}{},
		changed: make(chan struct{}),
	}
	t.Cleanup(p.close)
	go p.run()
	return p
}

func (p *proxy) addr() netip.AddrPort { return p.socket.Addr().(*net.TCPAddr).AddrPort() }

func (p *proxy) close() {
	_ = p.socket.Close()
	p.set(linkReset)
}

// set changes the active fault.
func (p *proxy) set(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f != linkReset {
		return
	}
	for c := range p.conns {
		abort(c)
	}
	clear(p.conns)
	clear(p.silenced)
}

// silence makes the open connections fall silent for good; new ones are forwarded.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silenced[c] = struct{}{}
	}
}

// awaitForwarding waits until bytes from the connection may be forwarded in the direction that the fault held holds back; false
// means reset.
func (p *proxy) awaitForwarding(from net.Conn, held linkFault) bool {
	for isDelayed := false; ; {
		p.mu.Lock()
		f, changed := p.fault, p.changed
		if _, isSilent := p.silenced[from]; isSilent && f != linkReset {
			f = linkSilent
		}
		p.mu.Unlock()
		switch {
		case f == linkReset:
			return false
		case f == linkSlow && !isDelayed:
			isDelayed = true
			// The delay is the fault itself, not a wait for the system.
			time.Sleep(linkDelay)
		case f == linkSilent || f == held:
			<-changed
		default:
			return true
		}
	}
}

// track registers a connection and reports whether it may stay open.
func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return p.fault != linkReset
}

func (p *proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) run() {
	for {
		c, err := p.socket.Accept()
		if err != nil {
			return
		}
		go p.runConn(c)
	}
}

func (p *proxy) runConn(near net.Conn) {
	defer p.untrack(near)
	if !p.track(near) {
		abort(near)
		return
	}
	far, err := net.DialTimeout("tcp4", p.target.String(), time.Second)
	if err != nil {
		abort(near)
		return
	}
	defer p.untrack(far)
	if !p.track(far) {
		abort(near)
		abort(far)
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.loop(far, near, linkSilentFromVM)
	}()
	p.loop(near, far, linkSilentToVM)
	<-done
}

// loop forwards bytes in one direction; it passes on an end of the connection as an end and an error as a reset.
func (p *proxy) loop(to, from net.Conn, held linkFault) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if !p.awaitForwarding(from, held) {
			abort(to)
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				abort(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			abort(to)
			return
		}
	}
}

// abort ends a connection with a reset.
func abort(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
