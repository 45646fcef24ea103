package listener

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns holds the callers' idle connections, each with the time since when it is idle.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// track records the state of a connection; it is the server's ConnState hook.
func (i *idleConns) track(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.since[c] = time.Now()
	} else {
		delete(i.since, c)
	}
}

// closeOlder closes the connections that have been idle for longer than limit, and returns their number.
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
