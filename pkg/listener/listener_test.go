package listener

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/admitter"
	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/authenticator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/drainer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/isolator"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
	"github.com/dogwoodledge/dogwoodledge/pkg/tracer"
)

// noJobs serves no calls and ignores submitted jobs.
type noJobs struct{}

func (noJobs) HandlerOf(*http.Request, *registrar.Config) http.HandlerFunc { return nil }

func (noJobs) Submit(http.ResponseWriter, *http.Request, registrar.Route) {}

// noKnowledge is that of a VM which has not read the configuration from the store.
func noKnowledge() (time.Duration, bool) { return 0, false }

func nowSinceBoot() time.Duration { return 0 }

func newTestListener(t *testing.T, cfg *registrar.Config) (*Listener, *logtest.Hook) {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	log.SetLevel(logrus.InfoLevel)
	reg := registrar.NewRegistry(cfg.Index(), map[string]registrar.Endpoint{"e": {ID: "e", Service: "s", Slots: 1}})
	registry := func() *registrar.Registry { return reg }
	b := balancer.New(
		balancer.Config{VM: "v", Topology: placer.Topology{AvailabilityZone: "a"}}, nil, rand.New(rand.NewPCG(1, 1)), log)
	pool := dialer.NewPool(func(string) int { return 0 })
	m, err := tracer.NewMeter(nil)
	require.NoError(t, err)
	i := isolator.New(nil, pool, registry, nil, log)
	headers := relayer.Headers{RequestID: "X-Id", Timeout: "X-Timeout"}
	a := admitter.New(admitter.Headers{}, authenticator.Policy{}, registry, noKnowledge, nowSinceBoot, admitter.Unlimited{}, m, log)
	rl := relayer.New(headers, registry, b, pool, i, nil, nil, a, func(registrar.Endpoint) {}, m, log)
	return New(Config{
		Callers: freeAddress(t), Ready: freeAddress(t), Metrics: freeAddress(t), ReadyPath: "/ready", MetricsPath: "/metrics",
		HasPeers: func() bool { return true },
	}, registry, rl, noJobs{}, http.NotFoundHandler(), log), hook
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestRefusedRequestsAreLogged sends requests that the active limits and routes don't admit: each refusal must be
// logged with the request's id.
func TestRefusedRequestsAreLogged(t *testing.T) {
	tests := []struct {
		name, target, header, body string
		hidesLength                bool
		status                     int
	}{
		{"no route", "/other", "", "", false, http.StatusNotFound},
		{"long body", "/cards", "", strings.Repeat("x", 101), false, http.StatusRequestEntityTooLarge},
		{"long body in chunks", "/cards", "", strings.Repeat("x", 101), true, http.StatusRequestEntityTooLarge},
		{"long header", "/cards", strings.Repeat("h", 300), "", false, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, hook := newTestListener(t, &registrar.Config{
				Version: 7, Limits: registrar.Limits{HeaderBytes: 300, BodyBytes: 100},
				Routes: []registrar.Route{{
					Name: "cards", Host: "h", PathPrefix: "/cards", Kind: registrar.KindSafe,
					Splits: []registrar.Split{{Service: "s", Weight: 1}},
				}},
			})
			var body io.Reader = bytes.NewReader([]byte(tt.body))
			if tt.hidesLength {
				body = io.MultiReader(body)
			}
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h"+tt.target, body)
			r.Header.Set("X-Id", "r1")
			r.Header.Set("X-Long", tt.header)
			w := httptest.NewRecorder()
			l.serveCaller(w, r)
			assert.Equal(t, tt.status, w.Code)
			entry := hook.LastEntry()
			require.NotNil(t, entry)
			assert.Equal(t, "r1", entry.Data["request"])
			assert.Equal(t, tt.status, entry.Data["status"])
			assert.EqualValues(t, 7, entry.Data["config"])
		})
	}
}

// TestIdleConnectionsEndByTheLimit keeps a connection idle for less and then for more than the configuration's limit.
func TestIdleConnectionsEndByTheLimit(t *testing.T) {
	l, _ := newTestListener(t, &registrar.Config{Limits: registrar.Limits{IdleTimeout: time.Minute}})
	require.NoError(t, l.Start())
	defer l.Stop(context.Background())
	c, err := net.Dial("tcp4", l.cfg.Callers.String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	ask := func() error {
		_, err := io.WriteString(c, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	require.NoError(t, ask())
	awaitIdle := func(n int) {
		require.Eventually(t, func() bool { return l.port.Idle() == n }, 5*time.Second, time.Millisecond)
	}
	awaitIdle(1)
	assert.Zero(t, l.closeIdle(time.Now().Add(time.Minute-time.Second)))
	require.NoError(t, ask(), "the connection must still be open")
	awaitIdle(1)
	assert.Equal(t, 1, l.closeIdle(time.Now().Add(time.Minute+time.Second)))
	_, err = br.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// TestRequestsReceivedWhileLeavingAreLogged checks that the log tells requests on kept connections from those on new ones, and
// how long ago the VM began to leave.
func TestRequestsReceivedWhileLeavingAreLogged(t *testing.T) {
	l, hook := newTestListener(t, &registrar.Config{})
	require.NoError(t, l.Start())
	defer l.Stop(context.Background())
	ask := func(client *http.Client) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.cfg.Callers.String()+"/none", nil)
		require.NoError(t, err)
		r.Header.Set("X-Id", "r1")
		res, err := client.Do(r)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, res.Body)
		require.NoError(t, res.Body.Close())
	}
	keeping := &http.Client{Transport: &http.Transport{}}
	ask(keeping)
	now := time.Now()
	l.Leave(drainer.Drain{Begun: now, End: now.Add(time.Minute)})
	ask(keeping)
	ask(&http.Client{Transport: &http.Transport{}})
	var seen []any
	for _, e := range hook.AllEntries() {
		if e.Message == "request received while leaving" {
			assert.Equal(t, "r1", e.Data["request"])
			assert.Less(t, e.Data["leavingFor"], int64(5000))
			seen = append(seen, e.Data["onConnection"])
		}
	}
	assert.Equal(t, []any{int64(2), int64(1)}, seen)
}

// TestClosedListenerPassesNoRequestOn closes the listener as the last step of a planned stop does, at a moment without a request
// in flight: a request that arrives then would be cut by the end of the process.
func TestClosedListenerPassesNoRequestOn(t *testing.T) {
	jobs := &countedJobs{}
	l, _ := newTestListener(t, &registrar.Config{Routes: []registrar.Route{{
		Name: "lots", Host: "h", PathPrefix: "/lots", Kind: registrar.KindBatch, Splits: []registrar.Split{{Service: "s", Weight: 1}},
	}}})
	l.jobs = jobs
	submit := func() int {
		w := httptest.NewRecorder()
		l.serveCaller(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/lots", nil))
		return w.Code
	}
	submit()
	require.Equal(t, 1, jobs.submitted)
	now := time.Now()
	l.Leave(drainer.Drain{Begun: now, End: now.Add(time.Minute), Propagation: time.Minute})
	submit()
	require.Equal(t, 2, jobs.submitted, "a request that the drain accepts must be passed on until the listener is closed")
	l.Close()
	assert.Equal(t, http.StatusServiceUnavailable, submit())
	assert.Equal(t, 2, jobs.submitted)
	assert.Zero(t, l.InFlight())
}

// countedJobs counts the calls and the submitted jobs.
type countedJobs struct {
	calls, submitted int
}

func (j *countedJobs) HandlerOf(r *http.Request, _ *registrar.Config) http.HandlerFunc {
	if !strings.HasPrefix(r.URL.Path, "/lots/") {
		return nil
	}
	return func(http.ResponseWriter, *http.Request) { j.calls++ }
}

func (j *countedJobs) Submit(http.ResponseWriter, *http.Request, registrar.Route) { j.submitted++ }

// TestJobCallOnAnOnlineRouteIsHeldToTheDrain sends a call about a job, whose path an online route has too, 140 ms before the end
// of a stop: the call may take longer than that.
func TestJobCallOnAnOnlineRouteIsHeldToTheDrain(t *testing.T) {
	jobs := &countedJobs{}
	splits := []registrar.Split{{Service: "s", Weight: 1}}
	l, _ := newTestListener(t, &registrar.Config{Routes: []registrar.Route{
		{Name: "lots", Host: "h", PathPrefix: "/batch/", Kind: registrar.KindBatch, Splits: splits},
		{Name: "all", Host: "h", PathPrefix: "/", Kind: registrar.KindSafe, Splits: splits},
	}})
	l.jobs = jobs
	read := func() int {
		w := httptest.NewRecorder()
		l.serveCaller(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/lots/abc?after=0", nil))
		return w.Code
	}
	require.Equal(t, http.StatusOK, read())
	require.Equal(t, 1, jobs.calls)
	now := time.Now()
	l.Leave(drainer.Drain{
		Begun: now.Add(-6900 * time.Millisecond), End: now.Add(140 * time.Millisecond), Propagation: 2200 * time.Millisecond,
	})
	assert.Equal(t, http.StatusServiceUnavailable, read())
	assert.Equal(t, 1, jobs.calls, "the VM serves a call that may take longer than the rest of the stop")
}

// TestOnlineRequestBesideJobCallsIsHeldToItsOwnDeadline sends an online request, shorter than the rest of a stop, on a route
// whose paths include those of calls about jobs, while such a call would be refused.
func TestOnlineRequestBesideJobCallsIsHeldToItsOwnDeadline(t *testing.T) {
	splits := []registrar.Split{{Service: "s", Weight: 1}}
	l, hook := newTestListener(t, &registrar.Config{Routes: []registrar.Route{
		{Name: "lots", Host: "h", PathPrefix: "/lots/", Kind: registrar.KindBatch, Splits: splits},
		{Name: "all", Host: "h", PathPrefix: "/", Kind: registrar.KindSafe, Splits: splits},
	}})
	now := time.Now()
	l.Leave(drainer.Drain{Begun: now.Add(-3 * time.Second), End: now.Add(2 * time.Second), Propagation: 2200 * time.Millisecond})
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/status", nil)
	r.Header.Set("X-Timeout", "1000")
	l.serveCaller(httptest.NewRecorder(), r)
	require.NotNil(t, hook.LastEntry())
	assert.Equal(t, "request ended", hook.LastEntry().Message)
}
