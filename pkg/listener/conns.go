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

// closeOlder closes the connections that have been idle for longer than limit, and returns their number.
func (o *openConns) closeOlder(now time.Time, limit time.Duration) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for c, since := range o.idleSince {
		if now.Sub(since) > limit {
			_ = c.Close()
			delete(o.idleSince, c)
			n++
		}
	}
	return n
}
