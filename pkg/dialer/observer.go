package dialer

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Observer learns how the connections to endpoints fare; its methods must not block.
type Observer interface {
	// Connected is called when a connection to the endpoint was established.
	Connected(endpoint string)
	// Failed is called when a connection to the endpoint could not be established, or an open one was reset.
	Failed(endpoint string)
	// Heard is called when bytes of an endpoint have arrived.
	Heard()
	// Exchanges is called with the change of the number of requests that have no complete answer.
	Exchanges(change int)
}

// SetObserver sets what learns of the connections; it must be called before the first request.
func (p *Pool) SetObserver(o Observer) { p.observer = o }

type noObserver struct{}

// Connected implements Observer.
func (noObserver) Connected(string) {}

// Failed implements Observer.
func (noObserver) Failed(string) {}

// Heard implements Observer.
func (noObserver) Heard() {}

// Exchanges implements Observer.
func (noObserver) Exchanges(int) {}

// observedConn is a connection whose reads and resets an observer learns of.
type observedConn struct {
	net.Conn
	endpoint string
	observer Observer
}

// Read implements net.Conn.
func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.observer.Heard()
	}
	c.observe(err)
	return n, err
}

// Write implements net.Conn.
func (c *observedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.observe(err)
	return n, err
}

func (c *observedConn) observe(err error) {
	if err != nil && errors.Is(err, syscall.ECONNRESET) {
		c.observer.Failed(c.endpoint)
	}
}

// SyscallConn implements syscall.Conn.
func (c *observedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection has no descriptor")
	}
	return sc.SyscallConn()
}
