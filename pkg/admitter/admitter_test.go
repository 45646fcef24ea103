package admitter

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/authenticator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/ratelimiter"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// vm is a VM whose configuration, knowledge and clock a test sets; it counts outcomes and limits rates itself.
type vm struct {
	*Admitter
	registry  *registrar.Registry
	asOf, now time.Duration
	counts    map[string]int
	room      int
	hook      *logtest.Hook
}

func newVM(t *testing.T, accounts map[string]string) *vm {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	log.SetLevel(logrus.InfoLevel)
	v := &vm{counts: map[string]int{}, hook: hook, asOf: time.Hour, now: time.Hour, room: 100}
	v.configure(accounts, registrar.Account{})
	v.Admitter = New(Headers{RequestID: "X-Id", Credentials: "Authorization"},
		authenticator.Policy{IsStrict: true, RevokeAfter: 5 * time.Second}, func() *registrar.Registry { return v.registry },
		func() (time.Duration, bool) { return v.asOf, true }, func() time.Duration { return v.now }, v, v, log)
	return v
}

// configure activates a configuration with the accounts of the keys; settings are those of each account.
func (v *vm) configure(accounts map[string]string, settings registrar.Account) {
	cfg := &registrar.Config{Version: 7, Routes: []registrar.Route{
		{Name: "r", Host: "h", PathPrefix: "/r", Kind: registrar.KindSafe, Priority: 3},
		{Name: "p", Host: "h", PathPrefix: "/p", Kind: registrar.KindSafe, IsPublic: true},
	}}
	for key, name := range accounts {
		settings.Name = name
		cfg.AddAccount(0, settings, []registrar.KeyDigest{registrar.DigestOf(key)})
	}
	v.registry = registrar.NewRegistry(cfg.Index(), nil)
}

func (v *vm) Admission(account, outcome string) { v.counts[account+" "+outcome]++ }

func (v *vm) Allow(context.Context, ratelimiter.Account) (time.Duration, bool) {
	v.room--
	return 700 * time.Millisecond, v.room >= 0
}

func (v *vm) request(t *testing.T, path, key string) (*Admission, *Refusal) {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h"+path, nil)
	r.Header.Set("X-Id", "r1")
	r.Header.Set("Authorization", "Bearer "+key)
	route, ok := v.registry.Config.Match("h", path)
	require.True(t, ok)
	return v.Admit(r, route)
}

func (v *vm) route() registrar.Route { return v.registry.Config.Routes[0] }

// TestWaitingRequestIsCheckedAgain changes what a VM knows after a request was admitted, and before it is sent.
func TestWaitingRequestIsCheckedAgain(t *testing.T) {
	keys := map[string]string{"k": "a"}
	tests := []struct {
		name   string
		change func(v *vm)
		status int
	}{
		{"nothing", func(*vm) {}, 0},
		{"further accounts", func(v *vm) { v.configure(map[string]string{"k": "a", "l": "b"}, registrar.Account{}) }, 0},
		{"the key is revoked", func(v *vm) { v.configure(map[string]string{"l": "a"}, registrar.Account{}) }, http.StatusUnauthorized},
		{
			"the key moves to another account", func(v *vm) { v.configure(map[string]string{"k": "b"}, registrar.Account{}) },
			http.StatusUnauthorized,
		},
		{"the accounts are removed", func(v *vm) { v.configure(nil, registrar.Account{}) }, 0},
		{"the route is removed", func(v *vm) {
			v.configure(keys, registrar.Account{})
			v.registry.Config.Routes = nil
			v.registry.Config.Index()
		}, http.StatusServiceUnavailable},
		{"the VM hears nothing", func(v *vm) { v.now += 4700 * time.Millisecond }, 0},
		{"the VM hears nothing for too long", func(v *vm) { v.now += 4800 * time.Millisecond }, http.StatusServiceUnavailable},
		{"the VM is frozen", func(v *vm) { v.now += time.Hour }, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := newVM(t, keys)
			route := v.route()
			a, refusal := v.request(t, "/r", "k")
			require.Nil(t, refusal)
			require.Nil(t, a.Limit(t.Context()))
			tt.change(v)
			refusal = a.Recheck(route)
			assert.True(t, a.IsGuarded(), "the key must not be passed on")
			if tt.status == 0 {
				assert.Nil(t, refusal)
				return
			}
			require.NotNil(t, refusal)
			assert.Equal(t, tt.status, refusal.Status())
		})
	}
}

// TestAccountsThatAreNewHoldForWaitingRequests activates the first accounts while a request waits.
func TestAccountsThatAreNewHoldForWaitingRequests(t *testing.T) {
	v := newVM(t, nil)
	known, refusal := v.request(t, "/r", "k")
	require.Nil(t, refusal)
	unknown, refusal := v.request(t, "/r", "x")
	require.Nil(t, refusal)
	assert.False(t, known.IsGuarded())
	v.configure(map[string]string{"k": "a"}, registrar.Account{})
	require.Nil(t, known.Recheck(v.route()))
	account, ok := known.Account()
	assert.True(t, ok)
	assert.Equal(t, "a", account.Name)
	assert.True(t, known.IsGuarded())
	require.NotNil(t, unknown.Recheck(v.route()))
}

// TestRateIsCountedOnce checks that only requests of accounts with a rate ask the limiter, and what a refusal tells.
func TestRateIsCountedOnce(t *testing.T) {
	v := newVM(t, map[string]string{"k": "a"})
	v.room = 1
	for range 3 {
		a, refusal := v.request(t, "/r", "k")
		require.Nil(t, refusal)
		require.Nil(t, a.Limit(t.Context()), "an account without a rate is not limited")
	}
	v.configure(map[string]string{"k": "a"}, registrar.Account{Rate: 2, Burst: 3})
	a, _ := v.request(t, "/r", "k")
	require.Nil(t, a.Limit(t.Context()))
	a, _ = v.request(t, "/r", "k")
	refusal := a.Limit(t.Context())
	require.NotNil(t, refusal)
	assert.Equal(t, http.StatusTooManyRequests, refusal.Status())
	assert.Equal(t, 700*time.Millisecond, refusal.RetryAfter)
	line := v.hook.LastEntry().Data
	assert.Equal(t, "r1", line["request"])
	assert.Equal(t, "a", line["account"])
	assert.Equal(t, 2.0, line["rate"])
	assert.EqualValues(t, 700, line["retryAfter"])
	assert.Equal(t, map[string]int{"a accepted": 4, "a rate": 1}, v.counts)
	public, refusal := v.request(t, "/p", "k")
	require.Nil(t, refusal)
	assert.Nil(t, public.Limit(t.Context()))
}

// TestPriorityOfTheAccountComesFirst checks which priority the placer gets.
func TestPriorityOfTheAccountComesFirst(t *testing.T) {
	v := newVM(t, map[string]string{"k": "a"})
	a, _ := v.request(t, "/r", "k")
	assert.Equal(t, 3, a.Priority(v.route()), "an account without a priority has the route's")
	v.configure(map[string]string{"k": "a"}, registrar.Account{Priority: option.Some(0)})
	a, _ = v.request(t, "/r", "k")
	assert.Equal(t, 0, a.Priority(v.route()))
}

// TestFloodOfRefusalsIsLoggedNowAndThen guards against a caller whose wrong keys displace all other lines of the log, and against
// keys in the log.
func TestFloodOfRefusalsIsLoggedNowAndThen(t *testing.T) {
	v := newVM(t, map[string]string{"k": "a"})
	for n := range 1000 {
		_, refusal := v.request(t, "/r", fmt.Sprint("guess-", n))
		require.NotNil(t, refusal)
	}
	lines := v.hook.AllEntries()
	assert.LessOrEqual(t, len(lines), lineBurst+2*linesPerSecond)
	for _, line := range lines {
		text, err := line.String()
		require.NoError(t, err)
		assert.NotContains(t, text, "guess-")
	}
	assert.Equal(t, 1000, v.counts["none unknown key"])
}

// TestRequestWithTwoKeysHasNone guards against a key that one reader of the request takes, and another one doesn't.
func TestRequestWithTwoKeysHasNone(t *testing.T) {
	v := newVM(t, map[string]string{"k": "a"})
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/r", nil)
	r.Header["Authorization"] = []string{"Bearer k", "Bearer x"}
	_, refusal := v.Admit(r, v.route())
	require.NotNil(t, refusal)
	assert.Equal(t, http.StatusUnauthorized, refusal.Status())
}
