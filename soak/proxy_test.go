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

// linkFault is what a proxy does with the bytes of its connections.
type linkFault int

const (
	linkSound linkFault = iota
	// linkSlow delays each piece; linkReset resets connections; linkSilent passes nothing on while it lasts.
	linkSlow
	linkReset
	linkSilent
	// linkDeaf holds back only what the VM is sent; linkMute only what it sends.
	linkDeaf
	linkMute
)

const (
	linkDelay  = 120 * time.Millisecond
	pieceBytes = 16 << 10
)

// proxy passes connections on to a target, over loopback.
type proxy struct {
	target netip.AddrPort
	socket *net.TCPListener

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]struct{}
	// changed is closed and replaced when the fault changes.
	changed chan struct{}
}

func newProxy(t testing.TB, target netip.AddrPort) *proxy {
	t.Helper()
	socket, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	p := &proxy{target: target, socket: socket, conns: map[net.Conn]struct{}{}, changed: make(chan struct{})}
	t.Cleanup(p.close)
	go p.run()
	return p
}

func (p *proxy) addr() netip.AddrPort { return p.socket.Addr().(*net.TCPAddr).AddrPort() }

func (p *proxy) close() {
	_ = p.socket.Close()
	p.set(linkReset)
}

// set changes the fault in force.
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
}

// pass waits until bytes may go on in the direction that a fault of its own holds back; false says that the link is reset.
func (p *proxy) pass(held linkFault) bool {
	for isDelayed := false; ; {
		p.mu.Lock()
		f, changed := p.fault, p.changed
		p.mu.Unlock()
		switch {
		case f == linkReset:
			return false
		case f == linkSlow && !isDelayed:
			isDelayed = true
			// The delay is the fault.
			time.Sleep(linkDelay)
		case f == linkSilent || f == held:
			<-changed
		default:
			return true
		}
	}
}

// keep notes a connection, and says whether it may stay.
func (p *proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return p.fault != linkReset
}

func (p *proxy) drop(c net.Conn) {
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
	defer p.drop(near)
	if !p.keep(near) {
		abort(near)
		return
	}
	far, err := net.DialTimeout("tcp4", p.target.String(), time.Second)
	if err != nil {
		abort(near)
		return
	}
	defer p.drop(far)
	if !p.keep(far) {
		abort(near)
		abort(far)
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.loop(far, near, linkMute)
	}()
	p.loop(near, far, linkDeaf)
	<-done
}

// loop passes bytes on, and the end of the connection as an end or as a reset.
func (p *proxy) loop(to, from net.Conn, held linkFault) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		if !p.pass(held) {
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
