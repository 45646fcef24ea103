package assembler_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// isCallOf reports whether the call to the store is one of the VM.
func isCallOf(vm *testVM, r *http.Request) bool {
	return strings.HasSuffix(r.Header.Get("User-Agent"), "/"+vm.name)
}

// isEndpointWatch reports whether the call to the store waits for changes of the endpoints.
func isEndpointWatch(r *http.Request) bool {
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	return r.URL.Path == "/rows-feed" && r.URL.Query().Get("table") == "servers" && wait > 100
}

// TestVMOutOfStepDoesNotResumeAtAnotherVersion guards against a VM that takes the only software version that it knows for the one
// that began a stream, while it has not heard of another one.
func TestVMOutOfStepDoesNotResumeAtAnotherVersion(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// isCut says that the VM can't reach the store, rather than that its watch of the endpoints is silent.
		isCut, hasLeft, isHistoryLost bool
	}{
		{name: "its watch is silent"},
		{name: "it is cut off from the store", isCut: true},
		{name: "the version has left", hasLeft: true},
		{name: "the version has left, and the history is lost", hasLeft: true, isHistoryLost: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2)
			f.awaitEndpoints()
			f.awaitPeers()
			for _, e := range f.endpoints {
				e.Step = 10 * time.Millisecond
			}
			inStep, late := f.vms[0], f.vms[1]
			f.awaitRecord("llm", 1)
			id := newID("s")
			f.begin(inStep, id)
			require.Equal(t, http.StatusOK, f.resume(late, id).status)

			silent := atomic.Int64{}
			f.store.SetFault(func(r *http.Request) standin.StoreFault {
				if !isCallOf(late, r) || !c.isCut && !isEndpointWatch(r) {
					return standin.NoFault
				}
				silent.Add(1)
				return standin.Silent
			})
			late.gossiper.SetHandler(gossiper.Handler{})
			// The watch that runs already ends by this change.
			f.store.Put("servers", "", "i-llm-1", f.endpoint("i-llm-1").Entry("ready"))
			require.Eventually(t, func() bool { return silent.Load() > 0 }, maxWait, 10*time.Millisecond)

			newer := []string{"i-llm-3", "i-llm-4"}
			for _, id := range newer {
				e := f.addEndpoint(id, "llm")
				e.Version, e.Step = "v2", 10*time.Millisecond
				f.store.Put("servers", "", id, e.Entry("ready"))
			}
			f.awaitRecord("llm", 2)
			texts := f.beginAll(inStep, 30)
			if c.hasLeft {
				for _, id := range newer {
					f.store.Remove("servers", "", id)
				}
			}
			if c.isHistoryLost {
				f.store.DropHistory()
			}
			for id, a := range f.resumeAll([]*testVM{late}, texts) {
				if a.status == http.StatusOK {
					assert.Len(t, versionsIn(texts[id]+a.body), 1, texts[id]+a.body)
					continue
				}
				assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
			}
			if c.hasLeft {
				return
			}
			for id, a := range f.resumeAll([]*testVM{inStep}, texts) {
				assert.Equal(t, http.StatusOK, a.status, a.body)
				assert.Len(t, versionsIn(texts[id]+a.body), 1, texts[id]+a.body)
			}
		})
	}
}
