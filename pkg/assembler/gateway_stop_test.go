package assembler_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// streamUntilGone sends streams one after the other, each on a new connection or all on a kept one, until the VM is gone, and
// passes each answer to check.
func (f *testFleet) streamUntilGone(vm *testVM, isKept bool, check func(id string, a answer)) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: !isKept}}
	defer client.CloseIdleConnections()
	for {
		id := newID("stop")
		r, err := http.NewRequest(http.MethodPost, vm.base+"/draft/1", strings.NewReader("prompt"))
		require.NoError(f.t, err)
		r.Host = testHost
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("X-Token-Count", "450,250")
		r.Header.Set("X-Deadline-Ms", "5000")
		res, err := client.Do(r)
		if err != nil {
			check(id, answer{err: err})
			return
		}
		text, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		check(id, answer{status: res.StatusCode, header: res.Header, body: string(text), err: err})
		if res.StatusCode == http.StatusServiceUnavailable {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// TestPlannedStopCutsNoRequestTakenLate keeps callers busy at a VM that stops, so that a request is always in flight: each answer
// must be complete, or say that the request has not run.
func TestPlannedStopCutsNoRequestTakenLate(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	for _, e := range f.endpoints {
		e.Step = 250 * time.Millisecond
	}
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 180 * time.Millisecond)
			f.streamUntilGone(f.vms[0], n%2 == 0, func(id string, a answer) {
				switch a.status {
				case http.StatusServiceUnavailable:
					assert.NotEmpty(t, a.header.Get("Retry-After"))
					assert.Empty(t, f.runsOf(id), "the status says that the request did not run, but it ran")
				case 0:
					assert.Empty(t, f.runsOf(id), "no answer to a request that was passed on: %v", a.err)
				default:
					assert.NoError(t, a.err)
					assert.Equal(t, standin.CompleteStream(id, 6), a.body)
				}
			})
		}()
	}
	require.Eventually(t, func() bool { return len(f.allRuns()) >= 8 }, maxWait, 10*time.Millisecond)
	require.NoError(t, f.vms[0].app.Stop(context.Background()))
	wg.Wait()
}
