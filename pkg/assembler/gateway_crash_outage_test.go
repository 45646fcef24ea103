package assembler_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// TestEndOfManyEnginesUnderWaitingRequestsStopsNoSoundRequests ends twelve engines at once, each under a request that waits for
// its answer, and starts others. Requests of the same caller are sound, and must be served soon.
func TestEndOfManyEnginesUnderWaitingRequestsStopsNoSoundRequests(t *testing.T) {
	t.Parallel()
	const engines, vms = 12, 3
	f := newFleet(t, vms)
	for n := range engines - 2 {
		f.addEndpoint(fmt.Sprintf("i-llm-%d", n+3), "llm")
	}
	f.awaitEndpoints()
	old := f.endpoints
	var waiting sync.Map
	for _, e := range old {
		e.SetFault(func(_ int, r *http.Request) standin.EndpointFault {
			if r.Header.Get("X-Prompt-Prefix") != "" {
				waiting.Store(e.ID, true)
			}
			return standin.NoAnswer
		})
	}
	var wg sync.WaitGroup
	for n := range 3 * engines {
		wg.Go(func() { f.ask(f.vms[n%vms], "/draft/1", fmt.Sprintf("abc%d", n)) })
	}
	time.Sleep(time.Second)
	ended := 0
	waiting.Range(func(any, any) bool { ended++; return true })
	for _, e := range old {
		if e.Service == "llm" {
			go e.Close()
			f.store.Remove("servers", "", e.ID)
		}
	}
	wg.Wait()
	for n := range 6 {
		f.addEndpoint(fmt.Sprintf("i-new-%d", n), "llm")
	}
	// The users allow twice the time to react.
	time.Sleep(2 * timeToReact)
	var served atomic.Int64
	const sent = 60
	for n := range sent {
		wg.Go(func() {
			if a := f.ask(f.vms[n%vms], "/draft/1", fmt.Sprintf("abc%d", n)); a.status == http.StatusOK {
				served.Add(1)
			} else if n%20 == 0 {
				t.Log(a.status, a.body, a.err)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	t.Logf("%d engines ended under waiting requests, served %d of %d", ended, served.Load(), sent)
	assert.Greater(t, served.Load(), int64(sent/2))
}
