package forwarder

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout      = 500 * time.Millisecond
	idlePerEndpoint  = 64
	idleFor          = 90 * time.Second
	headerWithinSlow = 2 * time.Minute
)

// Pools keep online and batch connections apart, so that batch never stands before online.
type Pools struct {
	Online *http.Client
	Batch  *http.Client
	// Once serves calls that may not be repeated: each has a connection of its own, which the HTTP library
	// therefore never takes for a stale one to try again on, and on which no earlier answer can arrive late.
	Once *http.Client
}

// NewPools returns the pools, all empty.
func NewPools() *Pools {
	return &Pools{Online: newClient(false), Batch: newClient(false), Once: newClient(true)}
}

func newClient(isOnce bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           dialer.DialContext,
			MaxIdleConnsPerHost:   idlePerEndpoint,
			IdleConnTimeout:       idleFor,
			ResponseHeaderTimeout: headerWithinSlow,
			DisableKeepAlives:     isOnce,
			DisableCompression:    true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
