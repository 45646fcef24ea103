package assembler_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// TestProbeThatAnEngineRefusesGoesToAnother quarantines a sound part. The first engine that gets the probe is full and refuses;
// the other one would run it.
func TestProbeThatAnEngineRefusesGoesToAnother(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.awaitEndpoints()
	const part = "abc1"
	var reached atomic.Int64
	for _, e := range f.endpoints {
		e.SetFault(func(_ int, r *http.Request) standin.EndpointFault {
			if r.Header.Get("X-Prompt-Prefix") != "" && reached.Add(1) == 1 {
				return standin.Shed
			}
			return standin.NoEndpointFault
		})
	}
	for n := range 3 {
		value := fmt.Appendf(nil, "1@%d", time.Now().Add(time.Duration(n-3)*time.Second).UnixMilli())
		f.store.Put("quarantine", "", fmt.Sprintf("%s/e-%d@1", part, n), value)
	}
	require.Eventually(t, func() bool {
		return f.ask(f.vms[0], "/draft/1", part).status == http.StatusServiceUnavailable
	}, maxWait, 10*time.Millisecond)
	reached.Store(0)
	// The first probe is due 3 s after the strikes.
	time.Sleep(3500 * time.Millisecond)
	a := f.ask(f.vms[0], "/draft/1", part)
	assert.Equal(t, int64(2), reached.Load(), "engines that were asked")
	assert.Equal(t, http.StatusOK, a.status, a.body)
}
