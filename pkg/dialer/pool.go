package dialer

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// ConnectTimeout covers two round trips between regions. Only within a region does it also cover the first retransmission
	// of a lost packet.
	ConnectTimeout = 300 * time.Millisecond
	// minConnectTime is how long an attempt to connect must have lasted to count as failed if its context ended it.
	minConnectTime = 100 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint states no limit.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the limit that an endpoint states. It covers a round trip and the limit's rounding to whole
	// seconds.
	idleMargin      = 700 * time.Millisecond
	readBufferBytes = 4 << 10
	// receiveBytes bounds what the kernel keeps of an answer that is not read, which counts in the VM's memory. By itself it lets
	// the buffer of a fast endpoint grow to tens of MB.
	receiveBytes = 128 << 10
)

// Pool holds idle connections by endpoint; it is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
	// maxIdle returns the current limit on idle connections to an endpoint.
	maxIdle  func(endpoint string) int
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	observer Observer
}

// NewPool returns a pool that keeps at most as many idle connections to an endpoint as maxIdle returns.
func NewPool(maxIdle func(endpoint string) int) *Pool {
	d := net.Dialer{Timeout: ConnectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2,
	}, Control: limitReceived}
	return &Pool{idle: map[string][]*Conn{}, maxIdle: maxIdle, dial: d.DialContext, observer: noObserver{}}
}

// SetDial replaces the function that opens connections, before the first request; each call lasts ConnectTimeout at most.
func (p *Pool) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	p.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// Conn is a connection to one endpoint.
type Conn struct {
	net.Conn
	br       *bufio.Reader
	limit    *headLimit
	endpoint string
	address  netip.AddrPort
	carried  carried
	// idleTimeout is how long the connection may be idle before it is closed; it is not reused if this is not positive.
	idleTimeout time.Duration
	idleSince   time.Time
}

// Get returns a connection to the endpoint for the request with the id: an idle one on which the request's answer can be told
// from those to earlier requests, or a new one; the error is a *ConnectError.
func (p *Pool) Get(ctx context.Context, endpoint string, addr netip.AddrPort, request string) (*Conn, error) {
	if c := p.takeIdle(endpoint, addr, func(c *Conn) bool { return c.carried.allows(request) }); c != nil {
		return c, nil
	}
	return p.Open(ctx, endpoint, addr)
}

// GetAny returns an idle connection to the endpoint, or opens one, for a request without an id, whose answer changes nothing if
// it is that to an earlier request; the error is a *ConnectError.
func (p *Pool) GetAny(ctx context.Context, endpoint string, addr netip.AddrPort) (*Conn, error) {
	if c := p.takeIdle(endpoint, addr, func(*Conn) bool { return true }); c != nil {
		return c, nil
	}
	return p.Open(ctx, endpoint, addr)
}

// Reach opens a connection to the endpoint with the id and keeps it for reuse; the error is a *ConnectError.
func (p *Pool) Reach(ctx context.Context, id string, addr netip.AddrPort) error {
	c, err := p.Open(ctx, id, addr)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// Open opens a connection to the endpoint with the id; the error is a *ConnectError.
func (p *Pool) Open(ctx context.Context, id string, addr netip.AddrPort) (*Conn, error) {
	start := time.Now()
	conn, err := p.dial(ctx, "tcp4", addr.String())
	if err != nil {
		if ctx.Err() == nil || time.Since(start) >= minConnectTime {
			p.observer.Failed(id)
		}
		return nil, &ConnectError{Address: addr, After: time.Since(start), Cause: err}
	}
	p.observer.Connected(id)
	c := newConn(conn, id, addr)
	c.Conn = &observedConn{Conn: conn, endpoint: id, observer: p.observer}
	c.limit.r = c.Conn
	return c, nil
}

// limitReceived sets the size of a socket's receive buffer before it connects, when the window's scale is agreed on.
func limitReceived(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A socket without the option only keeps more.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
	})
}

func newConn(conn net.Conn, endpoint string, addr netip.AddrPort) *Conn {
	limit := &headLimit{r: conn}
	return &Conn{
		Conn: conn, limit: limit, br: bufio.NewReaderSize(limit, readBufferBytes), endpoint: endpoint, address: addr,
		idleTimeout: defaultIdleTimeout,
	}
}

// Connected returns the endpoints to which the pool has an idle connection, by the key that keyOf returns for their ids.
func Connected[K comparable](p *Pool, keyOf func(endpoint string) K) map[K]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	connected := make(map[K]bool, len(p.idle))
	for id, list := range p.idle {
		if n := len(list); n > 0 && now.Sub(list[n-1].idleSince) < list[n-1].idleTimeout {
			connected[keyOf(id)] = true
		}
	}
	return connected
}

// takeIdle returns the connection that was used last, of those that are still usable and fit, or nil; it closes unusable ones.
func (p *Pool) takeIdle(endpoint string, addr netip.AddrPort, fits func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := p.idle[endpoint]
	defer func() {
		if len(list) == 0 {
			delete(p.idle, endpoint)
			return
		}
		p.idle[endpoint] = list
	}()
	for n := len(list) - 1; n >= 0; n-- {
		c := list[n]
		isUsable := c.address == addr && now.Sub(c.idleSince) < c.idleTimeout && c.hasNoInput()
		if isUsable && !fits(c) {
			continue
		}
		list = slices.Delete(list, n, n+1)
		if isUsable {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// hasNoInput reports whether the idle connection has nothing to read, neither bytes nor a close by the endpoint.
func (c *Conn) hasNoInput() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	hasNoInput := false
	one := [1]byte{}
	err = raw.Read(func(fd uintptr) bool {
		_, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasNoInput = errno == syscall.EAGAIN
		return true
	})
	return err == nil && hasNoInput
}

// put keeps the connection for reuse, or closes it if it is not reusable or the limit is reached.
func (p *Pool) put(c *Conn) {
	if c.br.Buffered() > 0 || c.idleTimeout <= 0 {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	_ = c.SetDeadline(time.Time{})
	limit := p.maxIdle(c.endpoint)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.endpoint]) >= limit {
		_ = c.Close()
		return
	}
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
}

// Sweep closes connections that have been idle for too long, and the oldest ones beyond the limit of each endpoint.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		limit := p.maxIdle(id)
		keep := list[:0]
		for i, c := range list {
			if len(list)-i <= limit && now.Sub(c.idleSince) < c.idleTimeout {
				keep = append(keep, c)
				continue
			}
			_ = c.Close()
		}
		if len(keep) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = keep
	}
}

// setIdleTimeout sets the idle timeout by the answer's Connection and Keep-Alive headers.
func (c *Conn) setIdleTimeout(res *http.Response) {
	if res.Close {
		c.idleTimeout = 0
		return
	}
	for _, part := range strings.Split(res.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.ParseFloat(value, 64); err == nil {
			c.idleTimeout = time.Duration(s*float64(time.Second)) - idleMargin
		}
	}
}
