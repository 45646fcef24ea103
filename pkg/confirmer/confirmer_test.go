package confirmer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// TestEndAtCloseNeedsALiveEndpoint has an answer without a length or chunks end with its connection, and checks for each later
// state of the endpoint whether the answer is whole.
func TestEndAtCloseNeedsALiveEndpoint(t *testing.T) {
	t.Parallel()
	const whole = ""
	cases := []struct {
		name string
		// later answers the question after the end of the answer; nil closes the port before.
		later http.HandlerFunc
		// want is a part of the error.
		want string
	}{
		{"lives", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance", "e") }, whole},
		{"lives and names nothing", func(http.ResponseWriter, *http.Request) {}, whole},
		{"lives and has no room", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, whole},
		{"states its start", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "7") }, whole},
		{"port closed", nil, "refused"},
		{"port closed after its connections", closeAll, "refused"},
		{"another endpoint", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance", "f") }, "f answers"},
		{"started again", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "8") }, "next incarnation"},
		{"says nothing and keeps its connection", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, whole},
		{"lives and resets connections beyond its limit", resetting(2), whole},
		{"closes the connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "EOF"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var server *httptest.Server
			server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/health" {
					c.later(w, r)
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if !assert.NoError(t, err) {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody")
				if c.later == nil {
					_ = server.Listener.Close()
				}
				_ = conn.Close()
			}))
			t.Cleanup(func() {
				server.CloseClientConnections()
				server.Close()
			})
			e := registrar.Endpoint{
				ID: "e", Service: "s", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), StartedAtMs: 7,
			}
			cfg := &registrar.Config{Services: map[string]registrar.Service{"s": {Name: "s", HealthPath: "/health"}}}
			pool := dialer.NewPool(func(string) int { return 1 })
			confirmer := New(Protocol{InstanceID: "Instance", StartedAtMs: startOf},
				func() *registrar.Registry { return registrar.NewRegistry(cfg, nil) }, pool)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			conn, err := pool.Open(ctx, e.ID, e.Address)
			require.NoError(t, err)
			x, err := pool.Do(ctx, conn, dialer.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}})
			require.NoError(t, err)
			defer x.Close()
			body, err := io.ReadAll(confirmer.BodyOf(ctx, x, e))
			assert.Equal(t, "body", string(body))
			if c.want == whole {
				assert.NoError(t, err)
				return
			}
			unconfirmed := (*UnconfirmedEndError)(nil)
			require.ErrorAs(t, err, &unconfirmed)
			assert.Contains(t, unconfirmed.Detail, c.want)
			assert.NotErrorIs(t, err, io.EOF)
		})
	}
}

// closeAll closes the question's connection and then the port.
func closeAll(w http.ResponseWriter, r *http.Request) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
	_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()
}

// resetting returns a handler that resets the connections of the first n questions.
func resetting(n int64) http.HandlerFunc {
	asked := &atomic.Int64{}
	return func(w http.ResponseWriter, _ *http.Request) {
		if asked.Add(1) > n {
			return
		}
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

// startOf takes a body of one digit for the endpoint's start.
func startOf(body []byte) option.Option[int64] {
	if text := strings.TrimSpace(string(body)); len(text) == 1 {
		return option.Some(int64(text[0] - '0'))
	}
	return option.None[int64]()
}

// TestConnectionOfAServiceWithoutAHealthPathMustStayOpen guards against an answer that is taken for whole because a process that
// ends still accepted a connection.
func TestConnectionOfAServiceWithoutAHealthPathMustStayOpen(t *testing.T) {
	t.Parallel()
	for name, ends := range map[string]bool{"lives": false, "ends": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = ln.Close() })
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				if ends {
					time.Sleep(openTime / 10)
					_ = ln.Close()
					_ = conn.Close()
					return
				}
				_, _ = io.Copy(io.Discard, conn)
			}()
			e := registrar.Endpoint{ID: "e", Service: "s", Address: netip.MustParseAddrPort(ln.Addr().String())}
			confirmer := New(Protocol{StartedAtMs: startOf},
				func() *registrar.Registry { return registrar.NewRegistry(&registrar.Config{}, nil) },
				dialer.NewPool(func(string) int { return 1 }))
			assert.Equal(t, ends, confirmer.Confirm(t.Context(), e) != nil)
		})
	}
}
