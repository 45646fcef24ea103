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

// isWatch reports whether the call to the store waits for changes of the table.
func isWatch(r *http.Request, table string) bool {
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	return r.URL.Path == "/rows-feed" && r.URL.Query().Get("table") == table && wait > 100
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
				if !isCallOf(late, r) || !c.isCut && !isWatch(r, "servers") {
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

// TestStreamIsNotResumedAtTheServiceThatItsRouteMovedTo guards against a stream that goes on at the only software version of a
// service that did not begin it.
func TestStreamIsNotResumedAtTheServiceThatItsRouteMovedTo(t *testing.T) {
	t.Parallel()
	for _, isLate := range []bool{false, true} {
		t.Run("isLate="+strconv.FormatBool(isLate), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2)
			other := standin.NewEndpoint("i-other-1", "other", "syd-a")
			t.Cleanup(other.Close)
			other.Version = "v2"
			f.endpoints = append(f.endpoints, other)
			f.store.Put("servers", "", other.ID, other.Entry("ready"))
			f.awaitEndpoints()
			f.awaitPeers()
			f.awaitRecord("llm", 1)
			f.awaitRecord("other", 1)
			for _, e := range f.endpoints {
				e.Step = 10 * time.Millisecond
			}
			move := func() {
				for _, r := range f.routes {
					if r["pathPrefix"] == "/note/" {
						r["service"] = "other"
					}
				}
				f.configure()
			}
			first, vm := f.vms[0], f.vms[1]
			id, text := newID("s"), ""
			if isLate {
				silent := atomic.Int64{}
				f.store.SetFault(func(r *http.Request) standin.StoreFault {
					if !isCallOf(vm, r) || !isWatch(r, "op") {
						return standin.NoFault
					}
					silent.Add(1)
					return standin.Silent
				})
				vm.gossiper.SetHandler(gossiper.Handler{})
				f.configure()
				require.Eventually(t, func() bool { return silent.Load() > 0 }, maxWait, 10*time.Millisecond)
				move()
				require.Eventually(t, func() bool {
					id = newID("s")
					text = f.begin(first, id)
					return versionsIn(text)["@v2"]
				}, maxWait, 10*time.Millisecond)
			} else {
				text = f.begin(first, id)
				move()
				f.awaitConfig()
			}
			require.NoError(t, first.app.Stop(t.Context()))
			a := f.resume(vm, id)
			if a.status == http.StatusOK {
				assert.Len(t, versionsIn(text+a.body), 1, text+a.body)
				return
			}
			assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
		})
	}
}
