package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
)

// anyPort makes a server listen at a port that no other socket has.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// address returns the address at which the started port listens.
func (p *port) address() netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return netip.MustParseAddrPort(p.socket.Addr().String())
}

const testOperatorKey = "operator"

// newTestServer returns a started server whose metrics call ends when release is closed, and a channel that receives one value
// for each such call.
func newTestServer(t *testing.T, release <-chan struct{}) (*Server, <-chan struct{}) {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	begun := make(chan struct{}, 10)
	s := New(Config{
		VM: "v", Callers: anyPort, Operators: anyPort, OperatorKeyHashes: []string{follower.HashKey(testOperatorKey)},
	}, Parts{
		Log: log, Claims: NewClaimRunner("v", emulator.NewPlatform(), nil, nil, log),
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			begun <- struct{}{}
			<-release
			_, _ = io.WriteString(w, "done")
		}),
	})
	require.NoError(t, s.Start())
	s.cfg.Callers, s.cfg.Operators = s.callers.address(), s.operators.address()
	return s, begun
}

// testConn is a caller's or operator's connection.
type testConn struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, addr netip.AddrPort) *testConn {
	t.Helper()
	c, err := net.Dial("tcp4", addr.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &testConn{Conn: c, in: bufio.NewReader(c)}
}

// read returns the status of the next answer and whether the server closes the connection after it.
func (c *testConn) read(t *testing.T) (int, bool) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(c.in, nil)
	require.NoError(t, err, "no answer")
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	require.NoError(t, err, "answer cut")
	return res.StatusCode, res.Close
}

func (c *testConn) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

const (
	healthRequest  = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
	metricsRequest = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
)

// TestOperatorCallIsAnsweredAtStop stops a VM while an operator's call waits, as an apply waits for the store.
func TestOperatorCallIsAnsweredAtStop(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	s, begun := newTestServer(t, release)
	c := dial(t, s.cfg.Operators)
	c.send(t, metricsRequest)
	<-begun
	s.Leave()
	require.NoError(t, s.Drain(context.Background()))
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	assert.NoError(t, s.Stop(context.Background()))
	status, _ := c.read(t)
	assert.Equal(t, http.StatusOK, status)
}

// TestOperatorCallIsCutAtTheLimit stops a VM while an operator's call waits for longer than the stop may take.
func TestOperatorCallIsCutAtTheLimit(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	defer close(release)
	s, begun := newTestServer(t, release)
	dial(t, s.cfg.Operators).send(t, metricsRequest)
	<-begun
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	cut := (*CutError)(nil)
	require.ErrorAs(t, s.Stop(ctx), &cut)
	assert.Equal(t, &CutError{Port: "operators", Connections: 1}, cut)
}

// TestLeavingVMAcceptsNoChange sends a change to a VM that leaves: it could last longer than the VM.
func TestLeavingVMAcceptsNoChange(t *testing.T) {
	t.Parallel()
	s, _ := newTestServer(t, nil)
	apply := "POST /operators/v1/apply HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + testOperatorKey +
		"\r\nContent-Length: 1\r\n\r\nx"
	c := dial(t, s.cfg.Operators)
	c.send(t, apply)
	status, _ := c.read(t)
	assert.Equal(t, http.StatusBadRequest, status)
	s.Leave()
	c.send(t, apply)
	status, _ = c.read(t)
	assert.Equal(t, http.StatusServiceUnavailable, status)
	require.NoError(t, s.Stop(context.Background()))
}

// TestDrainAnswersAcceptedConnections sends a request on a kept connection and one on a fresh connection after the drain has
// begun: each gets an answer, which refuses it.
func TestDrainAnswersAcceptedConnections(t *testing.T) {
	t.Parallel()
	s, _ := newTestServer(t, nil)
	kept, fresh := dial(t, s.cfg.Callers), dial(t, s.cfg.Callers)
	kept.send(t, healthRequest)
	status, isClosed := kept.read(t)
	require.Equal(t, http.StatusOK, status)
	require.False(t, isClosed)
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	require.Eventually(t, func() bool {
		// A connection request that arrives as the socket closes may be lost; it would be sent again after 1 s.
		c, err := net.DialTimeout("tcp4", s.cfg.Callers.String(), 20*time.Millisecond)
		if err == nil {
			_ = c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}, time.Second, time.Millisecond, "the port stays open")
	for _, c := range []*testConn{kept, fresh} {
		c.send(t, healthRequest)
		status, isClosed := c.read(t)
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.True(t, isClosed)
	}
	assert.NoError(t, <-drained)
	require.NoError(t, s.Stop(context.Background()))
}

// TestDrainCompletesRequestsInFlight drains a VM with a request whose body is still being sent.
func TestDrainCompletesRequestsInFlight(t *testing.T) {
	t.Parallel()
	s, _ := newTestServer(t, nil)
	begun := make(chan struct{})
	s.callers.server.Handler = s.callers.guard(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		_, _ = io.Copy(w, r.Body)
	}))
	c := dial(t, s.cfg.Callers)
	c.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
	<-begun
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	select {
	case err := <-drained:
		require.Fail(t, "the drain didn't wait for the request", "error: %v", err)
	case <-time.After(2 * lingerTime):
	}
	c.send(t, "b")
	status, _ := c.read(t)
	assert.Equal(t, http.StatusOK, status)
	assert.NoError(t, <-drained)
	require.NoError(t, s.Stop(context.Background()))
}

// TestLeavingVMClosesKeptConnections sends a request to a VM that leaves; its caller must use another VM next.
func TestLeavingVMClosesKeptConnections(t *testing.T) {
	t.Parallel()
	s, _ := newTestServer(t, nil)
	c := dial(t, s.cfg.Callers)
	s.Leave()
	c.send(t, healthRequest)
	status, isClosed := c.read(t)
	assert.Equal(t, http.StatusOK, status)
	assert.True(t, isClosed)
	require.NoError(t, s.Stop(context.Background()))
}
