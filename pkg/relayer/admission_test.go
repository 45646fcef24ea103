package relayer

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// TestKeyThatIsRevokedWhileTheRequestWaits revokes the key of a request after it was admitted and before it is placed: the
// request must be refused and never reach the endpoint. A key that stays valid is served.
func TestKeyThatIsRevokedWhileTheRequestWaits(t *testing.T) {
	for _, tt := range []struct {
		key    string
		status int
		runs   int64
	}{{"revoked", http.StatusUnauthorized, 0}, {"kept", http.StatusOK, 1}} {
		var runs atomic.Int64
		var l *Relayer
		var route registrar.Route
		var current atomic.Pointer[registrar.Registry]
		configure := func(keys ...string) {
			cfg := &registrar.Config{Routes: []registrar.Route{route}}
			for n, k := range keys {
				cfg.AddAccount(n, registrar.Account{Name: "a"}, []registrar.KeyDigest{registrar.DigestOf(k)})
			}
			current.Store(registrar.NewRegistry(cfg.Index(), l.registry().Endpoints))
		}
		revoke := hookedIsolator{onCheck: func() { configure("kept") }}
		l, route = newTestRelayer(t, revoke, func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			assert.Equal(t, []string{"a"}, r.Header.Values("X-Account"))
			assert.Empty(t, r.Header.Values("X-Key"))
			w.Header().Set("X-Id", "r1")
			w.Header().Set("X-Signed", "1")
		})
		configure("revoked", "kept")
		l.registry = current.Load
		l.headers.Credentials, l.headers.Account = "X-Key", "X-Account"
		l.admitter = newTestAdmitter(t, current.Load)
		r := newTestRequest(t)
		r.Header.Set("X-Key", "Bearer "+tt.key)
		r.Header.Set("X-Account", "b")
		w := httptest.NewRecorder()
		l.Serve(w, r, route)
		assert.Equal(t, tt.status, w.Code, w.Body.String())
		assert.Equal(t, tt.runs, runs.Load())
	}
}
