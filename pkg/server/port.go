package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/acceptor"
	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	// lingerTime is how long a drained port still answers requests on open connections that have none in flight.
	lingerTime = 500 * time.Millisecond
	drainPoll  = 5 * time.Millisecond
	// maxHeadBytes bounds the head of a request; restTimeout how long the rest of a body is read that the answer did not need.
	maxHeadBytes = 64 << 10
	restTimeout  = 2 * time.Second
)

// CutError says that the time of a drain ended while connections of the port still had a request in flight; they were closed.
type CutError struct {
	Port        string
	Connections int
}

// Error gives the port and the number of connections.
func (e *CutError) Error() string {
	return fmt.Sprintf("requests still ran at the end of the drain limit: %d connections of %s closed", e.Connections, e.Port)
}

// port is an HTTP server that, unlike http.Server.Shutdown, stops without dropping requests on connections that it has accepted.
type port struct {
	name   string
	server *http.Server
	// refuse answers the requests that arrive after the drain has begun.
	refuse    http.Handler
	isLeaving atomic.Bool
	isClosed  atomic.Bool

	mu     sync.Mutex
	socket net.Listener
	conns  map[net.Conn]http.ConnState
}

func newPort(name string, h, refuse http.Handler) *port {
	p := &port{name: name, refuse: refuse, conns: map[net.Conn]http.ConnState{}}
	p.server = &http.Server{
		Handler: p.guard(h), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
	}
	return p
}

// headLimits returns the limits of a head.
func headLimits() acceptor.HeadLimits {
	return acceptor.HeadLimits{Bytes: maxHeadBytes, Timeout: readHeaderTimeout}
}

// guard passes requests on to h until the drain begins.
func (p *port) guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.isLeaving.Load() {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength != 0 {
			defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout)) }()
		}
		// The connection counts as active before this check, so the drain waits for each request that passes it.
		if p.isClosed.Load() {
			p.refuse.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// track records the state of a connection; it is the server's ConnState hook.
func (p *port) track(c net.Conn, s http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(p.conns, c)
		return
	}
	p.conns[c] = s
}

// count returns the number of open connections and of those with a request in flight.
func (p *port) count() (open, active int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.conns {
		if s == http.StateActive {
			active++
		}
	}
	return len(p.conns), active
}

// start listens at the address; it fails when the address can't be bound.
func (p *port) start(
	addr netip.AddrPort, connections int, bodies *bodyreader.Reader, counters *acceptor.Counters, log logrus.FieldLogger,
) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return errors.Wrapf(err, "listen at %s", addr)
	}
	p.mu.Lock()
	p.socket = l
	p.mu.Unlock()
	accepted := acceptor.New(l, acceptor.Config{
		Name: p.name, Connections: connections, Heads: headLimits, Bodies: bodies,
	}, counters, log)
	p.server.ConnState = func(c net.Conn, s http.ConnState) {
		accepted.Track(c, s)
		p.track(c, s)
	}
	go p.run(accepted, log)
	return nil
}

func (p *port) run(l net.Listener, log logrus.FieldLogger) {
	if err := p.server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.WithError(err).Error("HTTP server ended; its port accepts no more connections")
	}
}

// leave has each connection closed after its next answer.
func (p *port) leave() { p.isLeaving.Store(true) }

// drain accepts no more connections, refuses further requests and waits until those in flight are answered. If ctx ends first,
// it closes the remaining connections and returns a *CutError.
func (p *port) drain(ctx context.Context) error {
	p.leave()
	p.isClosed.Store(true)
	p.closeSocket()
	defer func() { _ = p.server.Close() }()
	for {
		_, active := p.count()
		if active == 0 {
			break
		}
		if !sleeper.Sleep(ctx, drainPoll) {
			return &CutError{Port: p.name, Connections: active}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, lingerTime)
	defer cancel()
	for open, _ := p.count(); open > 0 && sleeper.Sleep(ctx, drainPoll); open, _ = p.count() {
	}
	return nil
}

func (p *port) closeSocket() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.socket != nil {
		_ = p.socket.Close()
	}
}
