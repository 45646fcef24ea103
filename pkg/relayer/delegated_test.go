package relayer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/admitter"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/authenticator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/ratelimiter"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/delegator"
	"github.com/dogwoodledge/dogwoodledge/pkg/tracer"
)

// usedUp is a limiter of accounts whose rates are used up.
type usedUp struct{}

func (usedUp) Allow(context.Context, ratelimiter.Account) (time.Duration, bool) {
	return time.Second, false
}

func newDelegatedRequest(t *testing.T) *http.Request {
	r := newTestRequest(t)
	r.Header.Set(delegator.Header, "other")
	return r
}

// configure replaces the configuration of the relayer.
func (l *Relayer) configure(cfg *registrar.Config) {
	reg := registrar.NewRegistry(cfg.Index(), l.registry().Endpoints)
	l.registry = func() *registrar.Registry { return reg }
}

// TestDelegatedRequestIsServed hands a stream over: the endpoint gets the request without the header of the hop, and the answer
// comes back whole.
func TestDelegatedRequestIsServed(t *testing.T) {
	l, _ := newTestRelayer(t, hookedIsolator{onCheck: func() {}}, func(w http.ResponseWriter, r *http.Request) {
		assert.NotContains(t, r.Header, delegator.Header)
		assert.Equal(t, "h", r.Host)
		body, _ := io.ReadAll(r.Body)
		assert.Equal(t, "prompt", string(body))
		w.Header().Set("X-Id", "r1")
		w.Header().Set("X-Signed", "yes")
		_, _ = io.WriteString(w, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n")
	})
	w := httptest.NewRecorder()
	l.ServeDelegated(w, newDelegatedRequest(t))
	assert.Equal(t, http.StatusOK, w.Code)
	assert.Equal(t, "yes", w.Header().Get("X-Signed"))
	assert.Equal(t, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", w.Body.String())
}

// TestDelegatedRequestIsCountedOnce hands a request of an account over whose rate is used up: the VM that got it from its caller
// has counted it. Its key is checked here, too, and is not passed on.
func TestDelegatedRequestIsCountedOnce(t *testing.T) {
	l, route := newTestRelayer(t, hookedIsolator{onCheck: func() {}}, func(w http.ResponseWriter, r *http.Request) {
		assert.Empty(t, r.Header.Get("X-Key"))
		assert.Equal(t, "a", r.Header.Get("X-Account"))
		w.Header().Set("X-Id", "r1")
		w.Header().Set("X-Signed", "yes")
	})
	cfg := &registrar.Config{Routes: []registrar.Route{route}}
	cfg.AddAccount(0, registrar.Account{Name: "a", Rate: 1, Burst: 1}, []registrar.KeyDigest{registrar.DigestOf("k")})
	l.configure(cfg)
	log, _ := logtest.NewNullLogger()
	m, err := tracer.NewMeter(nil)
	require.NoError(t, err)
	l.headers.Credentials, l.headers.Account = "X-Key", "X-Account"
	l.admitter = admitter.New(admitter.Headers{RequestID: "X-Id", Credentials: "X-Key"}, authenticator.Policy{}, l.registry,
		func() (time.Duration, bool) { return 0, false }, func() time.Duration { return 0 }, usedUp{}, m, log)
	ask := func(key string, serve http.HandlerFunc) int {
		w, r := httptest.NewRecorder(), newDelegatedRequest(t)
		r.Header.Set("X-Key", "Bearer "+key)
		serve(w, r)
		return w.Code
	}
	assert.Equal(t, http.StatusTooManyRequests, ask("k", func(w http.ResponseWriter, r *http.Request) { l.Serve(w, r, route) }))
	assert.Equal(t, http.StatusOK, ask("k", l.ServeDelegated))
	assert.Equal(t, http.StatusUnauthorized, ask("unknown", l.ServeDelegated))
}

// TestDelegatedRequestIsHeldToTheConfiguration hands requests over that the configuration of this VM doesn't admit.
func TestDelegatedRequestIsHeldToTheConfiguration(t *testing.T) {
	splits := []registrar.Split{{Service: "s", Weight: 1}}
	cfg := &registrar.Config{Limits: registrar.Limits{HeaderBytes: 400, BodyBytes: 100}, Routes: []registrar.Route{
		{Name: "notes", Host: "h", PathPrefix: "/notes", Kind: registrar.KindSafe, Splits: splits},
		{Name: "lots", Host: "h", PathPrefix: "/lots", Kind: registrar.KindBatch, Splits: splits},
		{Name: "odd", Host: "h", PathPrefix: "/odd", Kind: registrar.KindUnsupported, Splits: splits},
	}}
	for _, tt := range []struct {
		name   string
		change func(r *http.Request)
		status int
	}{
		{"nothing is wrong", func(*http.Request) {}, http.StatusOK},
		{"no route has the host", func(r *http.Request) { r.Host = "other" }, http.StatusNotFound},
		{"no route has the path", func(r *http.Request) { r.URL.Path = "/none" }, http.StatusNotFound},
		{"a job", func(r *http.Request) { r.URL.Path = "/lots/1" }, http.StatusNotFound},
		{"a route of another build", func(r *http.Request) { r.URL.Path = "/odd" }, http.StatusServiceUnavailable},
		{"a long body", func(r *http.Request) { r.ContentLength = 101 }, http.StatusRequestEntityTooLarge},
		{
			"a head at the limit, with the headers of the hop",
			func(r *http.Request) {
				r.Header.Set("X-Long", strings.Repeat("h", 300))
				r.Header.Set("X-Of-Hop", strings.Repeat("h", hopBytes-200))
			},
			http.StatusOK,
		},
		{
			"a long head", func(r *http.Request) { r.Header.Set("X-Long", strings.Repeat("h", 400+hopBytes)) },
			http.StatusRequestHeaderFieldsTooLarge,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, _ := newTestRelayer(t, hookedIsolator{onCheck: func() {}}, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Id", "r1")
				w.Header().Set("X-Signed", "yes")
			})
			l.configure(cfg)
			w, r := httptest.NewRecorder(), newDelegatedRequest(t)
			tt.change(r)
			l.ServeDelegated(w, r)
			assert.Equal(t, tt.status, w.Code, w.Body)
		})
	}
}

// TestDelegatedRequestWithoutAConfigurationIsRefused hands a request over to a VM that has just started.
func TestDelegatedRequestWithoutAConfigurationIsRefused(t *testing.T) {
	l, _ := newTestRelayer(t, hookedIsolator{onCheck: func() {}}, http.NotFound)
	l.registry = func() *registrar.Registry { return registrar.NewRegistry(nil, nil) }
	w := httptest.NewRecorder()
	l.ServeDelegated(w, newDelegatedRequest(t))
	assert.Equal(t, http.StatusServiceUnavailable, w.Code)
	assert.NotEmpty(t, w.Header().Get("Retry-After"))
}
