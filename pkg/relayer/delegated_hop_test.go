package relayer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/drainer"
	"github.com/dogwoodledge/dogwoodledge/pkg/delegator"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
)

// hop is a peer with one endpoint behind it, and the connections of a VM that hands requests over to it.
type hop struct {
	relayer   *Relayer
	delegator *delegator.Delegator
	address   netip.AddrPort
	pool      *dialer.Pool
}

func newHop(t *testing.T, endpoint http.HandlerFunc) *hop {
	t.Helper()
	l, _ := newTestRelayer(t, hookedIsolator{onCheck: func() {}}, endpoint)
	l.headers.NotExecuted, l.headers.Timeout = "X-Not-Run", "X-Timeout"
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(socket.Addr().String())
	require.NoError(t, socket.Close())
	log, _ := logtest.NewNullLogger()
	d := delegator.New(delegator.Config{VM: "v", Address: address, Zone: "a", Headers: delegator.Headers{
		RequestID: l.headers.RequestID, Timeout: l.headers.Timeout, NotExecuted: l.headers.NotExecuted, Signature: l.headers.Signature,
	}}, nil, nil, log)
	d.SetHandler(http.HandlerFunc(l.ServeDelegated))
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(t, d.Start(ctx))
	t.Cleanup(cancel)
	return &hop{relayer: l, delegator: d, address: address, pool: dialer.NewPool(func(string) int { return 8 })}
}

// send hands a request over that has two seconds left.
func (p *hop) send(ctx context.Context, id string) (*dialer.Exchange, error) {
	conn, err := p.pool.Get(ctx, "v", p.address, id)
	if err != nil {
		return nil, err
	}
	return p.pool.Do(ctx, conn, dialer.Request{
		Method: http.MethodPost, Target: "/notes", Host: "h", Body: []byte("prompt"), IDHeader: "X-Id", ID: id,
		Header: http.Header{"X-Id": {id}, "X-Timeout": {"2000"}, delegator.Header: {"other"}},
	})
}

// TestPeerSaysWhatBecameOfADelegatedRequest has the endpoint, or the peer, fail in several ways: the answer says that the request
// has not run only if no endpoint can have run it.
func TestPeerSaysWhatBecameOfADelegatedRequest(t *testing.T) {
	for _, tt := range []struct {
		name     string
		endpoint http.HandlerFunc
		change   func(p *hop)
		status   int
		isNotRun bool
	}{
		{
			"the endpoint has no room", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}, nil, http.StatusServiceUnavailable, true,
		},
		{
			"the endpoint closes the connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, nil,
			http.StatusBadGateway, false,
		},
		{
			"the endpoint's answer is not signed", func(http.ResponseWriter, *http.Request) {}, nil, http.StatusBadGateway, false,
		},
		{
			"the endpoint's time is over", func(_ http.ResponseWriter, r *http.Request) {
				// The server sees the end of the connection only once the body is read.
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			}, nil, http.StatusGatewayTimeout, false,
		},
		{
			"the endpoint is gone", nil, func(p *hop) {
				for id, e := range p.relayer.registry().Endpoints {
					e.Address = netip.MustParseAddrPort("127.0.0.1:1")
					p.relayer.registry().Endpoints[id] = e
				}
			}, http.StatusServiceUnavailable, true,
		},
		{
			"the peer stops", nil, func(p *hop) {
				now := time.Now()
				p.delegator.Leave(drainer.Drain{Begun: now, End: now.Add(time.Second), Propagation: time.Minute})
			}, http.StatusServiceUnavailable, true,
		},
		{"the peer answers what is unanswered", nil, func(p *hop) { p.relayer.EndUnanswered() }, http.StatusServiceUnavailable, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newHop(t, tt.endpoint)
			if tt.change != nil {
				tt.change(p)
			}
			x, err := p.send(t.Context(), "r1")
			require.NoError(t, err)
			defer x.Close()
			body, err := io.ReadAll(x)
			require.NoError(t, err)
			assert.Equal(t, tt.status, x.Response.StatusCode, "%s", body)
			assert.Equal(t, tt.isNotRun, x.Response.Header.Get("X-Not-Run") != "", "%s", body)
			assert.Equal(t, "r1", x.Response.Header.Get("X-Id"))
			assert.Empty(t, x.Response.Header.Get("X-Signed"))
		})
	}
}

// TestDelegatedStreamComesEventByEvent has the endpoint send an event only when the one before it has arrived at the VM that
// handed the request over, and then break off: that VM must see that the stream is not whole.
func TestDelegatedStreamComesEventByEvent(t *testing.T) {
	arrived := make(chan struct{})
	p := newHop(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Id", "r1")
		w.Header().Set("X-Signed", "yes")
		for _, event := range []string{"id: 0\ndata: a\n\n", "id: 1\ndata: b\n\n"} {
			_, _ = io.WriteString(w, event)
			_ = http.NewResponseController(w).Flush()
			<-arrived
		}
		panic(http.ErrAbortHandler)
	})
	x, err := p.send(t.Context(), "r1")
	require.NoError(t, err)
	defer x.Close()
	assert.Equal(t, "yes", x.Response.Header.Get("X-Signed"))
	br := bufio.NewReader(x)
	for _, want := range []string{"id: 0\n", "data: a\n", "\n", "id: 1\n", "data: b\n", "\n"} {
		line, err := br.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, want, line)
		if line == "\n" {
			arrived <- struct{}{}
		}
	}
	_, err = br.ReadByte()
	require.Error(t, err)
	assert.NotErrorIs(t, err, io.EOF)
}

// TestDelegatedRequestEndsWithItsCaller ends a request at the VM that handed it over: the endpoint must see it, too.
func TestDelegatedRequestEndsWithItsCaller(t *testing.T) {
	reached, ended := make(chan struct{}), make(chan struct{})
	p := newHop(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(reached)
		<-r.Context().Done()
		close(ended)
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-reached
		leave()
	}()
	_, err := p.send(ctx, "r1")
	require.Error(t, err)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		assert.Fail(t, "the request goes on at the endpoint")
	}
	require.Eventually(t, func() bool { return p.delegator.InFlight() == 0 }, 5*time.Second, time.Millisecond)
}
