package forwarder

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout           = 500 * time.Millisecond
	maxIdlePerEndpoint    = 64
	idleTimeout           = 90 * time.Second
	responseHeaderTimeout = 2 * time.Minute
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
)

// Pools keep the connections of online and batch requests apart, so that batch requests never delay online ones.
type Pools struct {
	Online *http.Client
	Batch  *http.Client
	// SingleUse serves calls that may not be repeated. Each gets a connection of its own: net/http retries by itself only
	// on reused connections, and a late answer to an earlier call can't arrive on a new one.
	SingleUse *http.Client
}

// NewPools returns pools without connections.
func NewPools() *Pools {
	return &Pools{Online: newClient(false), Batch: newClient(false), SingleUse: newClient(true)}
}

func newClient(isSingleUse bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    maxIdlePerEndpoint,
			IdleConnTimeout:        idleTimeout,
			ResponseHeaderTimeout:  responseHeaderTimeout,
			DisableKeepAlives:      isSingleUse,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
