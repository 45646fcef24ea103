package listener

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// TestRequestWaitsForTheFirstConfiguration guards against refusing the callers that connect while all VMs start: they may retry
// only once, and the configuration is known a few hundred milliseconds later.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	tests := []struct {
		name       string
		age        time.Duration
		knownAfter time.Duration
		status     int
	}{
		{"known while the request waits", 0, 50 * time.Millisecond, http.StatusNotFound},
		{"not known in time", 0, time.Hour, http.StatusServiceUnavailable},
		{"the VM started long ago", time.Minute, 50 * time.Millisecond, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, _ := newTestListener(t, &registrar.Config{})
			known := l.registry()
			current := atomic.Pointer[registrar.Registry]{}
			current.Store(registrar.NewRegistry(nil, nil))
			l.registry = current.Load
			l.startedAt = time.Now().Add(-tt.age)
			timer := time.AfterFunc(tt.knownAfter, func() { current.Store(known) })
			defer timer.Stop()
			w := httptest.NewRecorder()
			l.serveCaller(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/none", nil))
			assert.Equal(t, tt.status, w.Code)
		})
	}
}
