package soak

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSendMeasuresTheAttempt checks that an attempt carries its duration, by which LATE is judged.
func TestSendMeasuresTheAttempt(t *testing.T) {
	const delay = 30 * time.Millisecond
	// The address is not one of those that the soak's VMs get.
	ip := netip.MustParseAddr("127.93.0.1")
	socket, err := net.Listen("tcp4", ip.String()+":18144")
	require.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(delay)
	})}
	go func() { _ = server.Serve(socket) }()
	defer func() { _ = server.Close() }()
	c := &callers{fleet: &fleet{}, outages: newOutages()}
	a := c.send(&http.Client{}, &vm{name: "v", ip: ip}, status, "a")
	assert.Equal(t, http.StatusOK, a.status)
	assert.GreaterOrEqual(t, a.took, delay)
}
