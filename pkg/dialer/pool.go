package dialer

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// ConnectTimeout spans a lost packet's first repetition only on paths within a region; two round trips between regions.
	ConnectTimeout = 300 * time.Millisecond
	// defaultIdle is how long a connection is kept when the endpoint doesn't tell its own limit.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off an endpoint's own limit: a round trip, and its rounding to whole seconds.
	idleMargin = 700 * time.Millisecond
	readBuffer = 4 << 10
)

// Pool holds idle connections by endpoint.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
	// mostIdle bounds the idle connections to an endpoint at this moment.
	mostIdle func(endpoint string) int
}

// NewPool returns a pool that keeps at most mostIdle connections to an endpoint.
func NewPool(mostIdle func(endpoint string) int) *Pool {
	return &Pool{idle: map[string][]*Conn{}, mostIdle: mostIdle}
}

// Conn is a connection to one endpoint.
type Conn struct {
	net.Conn
	br       *bufio.Reader
	endpoint string
	address  netip.AddrPort
	isReused bool
	keepFor  time.Duration
	freeAt   time.Time
}

// Get returns a connection to the endpoint with the id; the error is a *ConnectError.
func (p *Pool) Get(ctx context.Context, id string, addr netip.AddrPort) (*Conn, error) {
	if c := p.takeIdle(id, addr); c != nil {
		return c, nil
	}
	start := time.Now()
	d := net.Dialer{Timeout: ConnectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2,
	}}
	conn, err := d.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return nil, &ConnectError{Address: addr, After: time.Since(start), Cause: err}
	}
	return &Conn{
		Conn: conn, br: bufio.NewReaderSize(conn, readBuffer), endpoint: id, address: addr, keepFor: defaultIdle,
	}, nil
}

func (p *Pool) takeIdle(id string, addr netip.AddrPort) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := p.idle[id]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		if c.address == addr && now.Sub(c.freeAt) < c.keepFor && c.isQuiet() {
			p.idle[id] = list
			c.isReused = true
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, id)
	return nil
}

// isQuiet says that nothing arrived on the idle connection, neither bytes nor its end.
func (c *Conn) isQuiet() bool {
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
	isQuiet := false
	one := [1]byte{}
	err = raw.Read(func(fd uintptr) bool {
		_, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = errno == syscall.EAGAIN
		return true
	})
	return err == nil && isQuiet
}

// put keeps the connection for another request, or closes it.
func (p *Pool) put(c *Conn) {
	if c.br.Buffered() > 0 || c.keepFor <= 0 {
		_ = c.Close()
		return
	}
	c.freeAt = time.Now()
	_ = c.SetDeadline(time.Time{})
	most := p.mostIdle(c.endpoint)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.endpoint]) >= most {
		_ = c.Close()
		return
	}
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
}

// Sweep closes connections that were idle for too long, and the oldest of those that are more than mostIdle.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		most := p.mostIdle(id)
		keep := list[:0]
		for i, c := range list {
			if len(list)-i <= most && now.Sub(c.freeAt) < c.keepFor {
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

// readKeepAlive takes over how long the endpoint keeps an idle connection.
func (c *Conn) readKeepAlive(res *http.Response) {
	if res.Close {
		c.keepFor = 0
		return
	}
	for _, part := range strings.Split(res.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.ParseFloat(value, 64); err == nil {
			c.keepFor = time.Duration(s*float64(time.Second)) - idleMargin
		}
	}
}
