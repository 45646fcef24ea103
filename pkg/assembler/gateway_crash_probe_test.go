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
	// A request that runs when the strikes become known would refute them.
	time.Sleep(1500 * time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, f.ask(f.vms[0], "/draft/1", part).status)
	reached.Store(0)
	// The first probe is due 3 s after the strikes.
	time.Sleep(3500 * time.Millisecond)
	a := f.ask(f.vms[0], "/draft/1", part)
	assert.Equal(t, int64(2), reached.Load(), "engines that were asked")
	assert.Equal(t, http.StatusOK, a.status, a.body)
}

// TestRequestWithoutAnEngineIsNoProbe quarantines a sound part while the service has no engines. The request that comes when the
// probe is due can't be sent; the next one, when there are engines again, must be.
func TestRequestWithoutAnEngineIsNoProbe(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.awaitEndpoints()
	const part = "abc1"
	for n := range 3 {
		value := fmt.Appendf(nil, "1@%d", time.Now().Add(time.Duration(n-3)*time.Second).UnixMilli())
		f.store.Put("quarantine", "", fmt.Sprintf("%s/e-%d@1", part, n), value)
	}
	// A request that runs when the strikes become known would refute them.
	time.Sleep(1500 * time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, f.ask(f.vms[0], "/draft/1", part).status)
	for _, e := range []string{"i-llm-1", "i-llm-2"} {
		f.store.Remove("servers", "", e)
	}
	time.Sleep(3500 * time.Millisecond)
	assert.Contains(t, f.ask(f.vms[0], "/draft/1", part).body, "endpoint", "there are no engines")
	f.addEndpoint("i-llm-3", "llm")
	require.Eventually(t, func() bool {
		return f.ask(f.vms[0], "/draft/1", "abc2").status == http.StatusOK
	}, maxWait, 10*time.Millisecond, "the new engine is not known")
	a := f.ask(f.vms[0], "/draft/1", part)
	assert.Equal(t, http.StatusOK, a.status, a.body)
}
