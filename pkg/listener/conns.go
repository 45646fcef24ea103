package listener

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// openConns counts the callers' open connections, and holds the idle ones, each with the time since when it is idle.
type openConns struct {
	mu        sync.Mutex
	count     int
	idleSince map[net.Conn]time.Time
	// ended holds the idle connections that endOlder has ended and the server has not closed yet.
	ended map[net.Conn]bool
}

// track records the state of a connection; it is the server's ConnState hook.
func (o *openConns) track(c net.Conn, s http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch s {
	case http.StateNew:
		o.count++
	case http.StateClosed, http.StateHijacked:
		o.count--
	}
	if s == http.StateActive && o.ended[c] {
		// The server had read a request's head, so it serves the request and then keeps the connection.
		_ = c.SetReadDeadline(time.Time{})
	}
	delete(o.ended, c)
	if s == http.StateIdle {
		o.idleSince[c] = time.Now()
	} else {
		delete(o.idleSince, c)
	}
}

// open returns the number of open connections.
func (o *openConns) open() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count
}

// endOlder makes the server close the connections that have been idle for longer than limit, and returns their number.
//
// A read deadline in the past ends the server's wait for a request, but no request that it has read already.
func (o *openConns) endOlder(now time.Time, limit time.Duration) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for c, since := range o.idleSince {
		if now.Sub(since) > limit {
			_ = c.SetReadDeadline(time.Unix(1, 0))
			o.ended[c] = true
			n++
		}
	}
	return n
}
