package acceptor

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/budgeter"
	"github.com/dogwoodledge/dogwoodledge/pkg/tracer"
)

// linesPerSecond bounds the log lines a second for each cause for which connections are closed.
const linesPerSecond = 5

// HeadLimits bound the head of a request.
type HeadLimits struct {
	Bytes   int
	Timeout time.Duration
}

// Config says what a port allows.
type Config struct {
	// Name names the port in the log.
	Name string
	// Connections is how many connections the port may have, PerAddress how many from one address; 0 for no such bound.
	Connections, PerAddress int
	// Heads returns the limits of a head; nil if the port does not speak HTTP/1.
	Heads func() HeadLimits
	// RefusalHeader is the name of a header that refusals by the port itself bear; empty for none.
	RefusalHeader string
	// Bodies holds the bytes of large heads and says how long an answer may make no progress; nil for no limits.
	Bodies *bodyreader.Reader
}

// Counters count what happened to the connections of some ports since the start.
type Counters struct {
	// Open is the number of open connections. Refused counts those closed at once since there were too many, Evicted those closed
	// for the sake of new ones, NoRoom those whose heads were large while the budget was used up.
	Open, Refused, Evicted, NoRoom atomic.Int64
	// HeadsTooLarge and HeadsTooSlow count the requests refused for their heads, AnswersStalled the connections closed since the
	// caller did not take its answer.
	HeadsTooLarge, HeadsTooSlow, AnswersStalled atomic.Int64
}

// Port is a net.Listener that holds its connections to limits. Its Track must be the server's ConnState hook, if the server is an
// http.Server.
type Port struct {
	net.Listener

	cfg      Config
	counters *Counters
	log      logrus.FieldLogger
	sampler  *tracer.Sampler

	mu        sync.Mutex
	core      *budgeter.Connections
	byAddress map[netip.Addr]int
}

// New returns a port that accepts the connections of a TCP listener; without a log it logs nothing.
func New(l net.Listener, cfg Config, counters *Counters, log logrus.FieldLogger) *Port {
	limit := cfg.Connections
	if limit <= 0 {
		limit = int(^uint(0) >> 1)
	}
	return &Port{
		Listener: l, cfg: cfg, counters: counters, log: log, sampler: tracer.NewSampler(linesPerSecond),
		core: budgeter.NewConnections(limit), byAddress: map[netip.Addr]int{},
	}
}

// Accept returns the next connection for which there is room, and closes those for which there is none.
func (p *Port) Accept() (net.Conn, error) {
	for {
		c, err := p.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if k := p.admit(tcp); k != nil {
			return k, nil
		}
	}
}

func (p *Port) admit(tcp *net.TCPConn) *Conn {
	c := &Conn{TCPConn: tcp, port: p}
	if addr, err := netip.ParseAddrPort(tcp.RemoteAddr().String()); err == nil {
		c.address = addr.Addr()
	}
	c.isInHead.Store(p.cfg.Heads != nil)
	p.mu.Lock()
	var evicted *budgeter.Connection
	if p.cfg.PerAddress <= 0 || p.byAddress[c.address] < p.cfg.PerAddress {
		c.entry, evicted = p.core.Open(time.Now(), c)
	}
	if c.entry != nil {
		p.byAddress[c.address]++
	}
	if evicted != nil {
		// Under the lock, since a request that arrives meanwhile must not be cut.
		evicted.Owner.(*Conn).evict()
	}
	p.mu.Unlock()
	if evicted != nil {
		p.counters.Evicted.Add(1)
		p.logClosed("closed for the sake of new connections", evicted.Owner.(*Conn))
	}
	if c.entry == nil {
		p.counters.Refused.Add(1)
		p.logClosed("too many connections", c)
		if p.cfg.Heads != nil {
			c.writeRefusal(http.StatusServiceUnavailable)
		}
		_ = tcp.Close()
		return nil
	}
	p.counters.Open.Add(1)
	return c
}

// Track records the state of a connection; it is the server's ConnState hook.
func (p *Port) Track(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.endRequest()
	}
}

// Open returns the number of open connections.
func (p *Port) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Count()
}

// Idle returns the number of connections on which a request was answered and no other one has arrived.
func (p *Port) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.core.Older(time.Now(), -time.Hour))
}

// EndOlder makes the server close the connections that have been idle for longer than limit, and returns their number.
func (p *Port) EndOlder(now time.Time, limit time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	older := p.core.Older(now, limit)
	for _, k := range older {
		k.Owner.(*Conn).evict()
	}
	return len(older)
}

// logClosed logs why a connection was closed, unless too many were for the same cause.
func (p *Port) logClosed(cause string, c *Conn) {
	unlogged, ok := p.sampler.Allow(time.Now(), cause)
	if !ok || p.log == nil {
		return
	}
	p.log.WithFields(logrus.Fields{
		"port": p.cfg.Name, "caller": c.RemoteAddr().String(), "cause": cause, "open": p.Open(), "unlogged": unlogged,
	}).Info("connection closed")
}
