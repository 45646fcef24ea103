package listener

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns are the callers' connections without a request.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// track follows the states of the server's connections.
func (i *idleConns) track(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.since[c] = time.Now()
	} else {
		delete(i.since, c)
	}
}

// closeOlder closes the connections that have been idle for longer than limit, and returns how many.
func (i *idleConns) closeOlder(now time.Time, limit time.Duration) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for c, since := range i.since {
		if now.Sub(since) > limit {
			_ = c.Close()
			delete(i.since, c)
			n++
		}
	}
	return n
}
