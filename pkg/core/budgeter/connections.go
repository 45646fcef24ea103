package budgeter

import (
	"container/list"
	"time"
)

// settleTime is how long a connection may be without a complete head before it is closed for the sake of a new one: the head of a
// request comes within some round trips of its first byte.
const settleTime = 250 * time.Millisecond

// Connection is one open connection of a port.
type Connection struct {
	// Owner is whom the connection belongs to; Connections does not use it.
	Owner any

	// since is when the connection was opened or its last request was answered; zero once it is closed.
	since time.Time
	// isIdle says that a request has been answered on the connection, and no other one has arrived.
	isIdle bool
	// place is its place among those without a request, nil while a request is served.
	place *list.Element
}

// Connections decides which connections of a port are closed when there are too many; it is not safe for concurrent use.
type Connections struct {
	limit, open int
	// waiting holds the *Connection of those without a request, the one without for longest first.
	waiting *list.List
}

// NewConnections returns the connections of a port that may have this many.
func NewConnections(limit int) *Connections { return &Connections{limit: limit, waiting: list.New()} }

// Count returns the number of open connections.
func (c *Connections) Count() int { return c.open }

// Open admits a new connection, or returns nil if there is no room. The connection that is returned second, if any, has been
// without a request for longest and must be closed for it.
func (c *Connections) Open(now time.Time, owner any) (admitted, closed *Connection) {
	if c.open >= c.limit {
		front := c.waiting.Front()
		if front == nil || now.Sub(front.Value.(*Connection).since) < settleTime {
			return nil, nil
		}
		closed = front.Value.(*Connection)
		c.Close(closed)
	}
	c.open++
	admitted = &Connection{Owner: owner, since: now}
	admitted.place = c.waiting.PushBack(admitted)
	return admitted, closed
}

// Begin records that a request has arrived on the connection.
func (c *Connections) Begin(k *Connection) {
	if k.place != nil {
		c.waiting.Remove(k.place)
		k.place = nil
	}
	k.isIdle = false
}

// End records that the request on the connection has been answered. It returns false if the connection was closed for another
// one.
func (c *Connections) End(now time.Time, k *Connection) bool {
	if k.since.IsZero() {
		return false
	}
	c.Begin(k)
	k.since, k.isIdle, k.place = now, true, c.waiting.PushBack(k)
	return true
}

// Close records the end of a connection; it may be called again.
func (c *Connections) Close(k *Connection) {
	if k.since.IsZero() {
		return
	}
	c.Begin(k)
	k.since = time.Time{}
	c.open--
}

// Older returns the connections on which a request was answered, and none has arrived for longer than limit.
func (c *Connections) Older(now time.Time, limit time.Duration) []*Connection {
	var older []*Connection
	for e := c.waiting.Front(); e != nil; e = e.Next() {
		k := e.Value.(*Connection)
		if now.Sub(k.since) <= limit {
			break
		}
		if k.isIdle {
			older = append(older, k)
		}
	}
	return older
}
