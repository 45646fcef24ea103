package assembler_test

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// newMixedFleet starts a fleet of n VMs whose engines are of two software versions, two of each.
func newMixedFleet(t *testing.T, n int) *testFleet {
	t.Helper()
	f := newFleet(t, n)
	for _, id := range []string{"i-llm-3", "i-llm-4"} {
		e := f.addEndpoint(id, "llm")
		e.Version = "v2"
		f.store.Put("servers", "", id, e.Entry("ready"))
	}
	f.awaitEndpoints()
	f.awaitPeers()
	for _, e := range f.endpoints {
		e.Step = 10 * time.Millisecond
	}
	return f
}

var versionOfEvent = regexp.MustCompile(`(?m)^data: [^@\n]*(@\S*)?$`)

// versionsIn returns the software versions that wrote the events of a text.
func versionsIn(text string) map[string]bool {
	versions := map[string]bool{}
	for _, m := range versionOfEvent.FindAllStringSubmatch(text, -1) {
		versions[m[1]] = true
	}
	return versions
}

// begin sends a request for a stream, and leaves after its first two events, which it returns; an empty text says that it got
// none.
func (f *testFleet) begin(vm *testVM, id string) string {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.t.Context())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, vm.base+"/note/1", strings.NewReader("prompt"))
	require.NoError(f.t, err)
	r.Host = testHost
	for name, value := range map[string]string{"X-Request-Id": id, "X-Token-Count": "450,250", "X-Deadline-Ms": "5000"} {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	require.NoError(f.t, err)
	defer func() { _ = res.Body.Close() }()
	require.Equal(f.t, http.StatusOK, res.StatusCode)
	text, lines := strings.Builder{}, bufio.NewScanner(res.Body)
	for events := 0; events < 2 && lines.Scan(); {
		text.WriteString(lines.Text() + "\n")
		if lines.Text() == "" {
			events++
		}
	}
	return text.String()
}

// resume takes up the stream that the attempt with the id began, after its second event.
func (f *testFleet) resume(vm *testVM, id string) answer {
	f.t.Helper()
	return f.call(f.t.Context(), vm, http.MethodPost, "/note/1", newID("r"), "prompt", withHeader("X-Token-Count", "450,250"),
		withHeader("X-Deadline-Ms", "5000"), withHeader("Last-Event-Id", "1"), withHeader("Resumes", id))
}

// beginAll begins n streams at once, so that they spread over the endpoints, and returns their first events by the ids of the
// attempts.
func (f *testFleet) beginAll(vm *testVM, n int) map[string]string {
	f.t.Helper()
	texts := map[string]string{}
	mu, wg := sync.Mutex{}, sync.WaitGroup{}
	for range n {
		wg.Go(func() {
			id := newID("s")
			text := f.begin(vm, id)
			mu.Lock()
			defer mu.Unlock()
			texts[id] = text
		})
	}
	wg.Wait()
	seen := map[string]bool{}
	for _, text := range texts {
		maps.Copy(seen, versionsIn(text))
	}
	require.Len(f.t, seen, 2, "the streams were not begun by both versions")
	return texts
}

// resumeAll takes up the streams at once, by turns at the VMs, and returns the answers by the ids of the attempts that began
// them.
func (f *testFleet) resumeAll(vms []*testVM, texts map[string]string) map[string]answer {
	f.t.Helper()
	answers := map[string]answer{}
	mu, wg := sync.Mutex{}, sync.WaitGroup{}
	n := 0
	for id := range texts {
		vm := vms[n%len(vms)]
		n++
		wg.Go(func() {
			a := f.resume(vm, id)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
	}
	wg.Wait()
	return answers
}

// TestBrokenStreamGoesOnAtItsSoftwareVersion breaks streams off in the middle: what follows is by the software version that began
// them.
func TestBrokenStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	f := newMixedFleet(t, 1)
	for _, e := range f.endpoints {
		e.SetFault(func(_ int, r *http.Request) standin.EndpointFault {
			if r.Header.Get("Last-Event-Id") == "" {
				return standin.Truncate
			}
			return standin.NoEndpointFault
		})
	}
	served := 0
	for range 30 {
		a := f.stream(f.vms[0], "/note/1", newID("s"))
		assert.Len(t, versionsIn(a.body), 1, a.body)
		if a.err == nil {
			served++
		}
	}
	assert.Equal(t, 30, served, "each version has a second endpoint")
}

// TestResumedStreamGoesOnAtItsSoftwareVersion has callers resume streams at another VM, while the one that began them is there
// and once it is gone.
func TestResumedStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	for _, isGone := range []bool{false, true} {
		t.Run(fmt.Sprintf("isGone=%t", isGone), func(t *testing.T) {
			t.Parallel()
			f := newMixedFleet(t, 4)
			texts := f.beginAll(f.vms[0], 30)
			if isGone {
				require.NoError(t, f.vms[0].app.Stop(t.Context()))
			}
			for id, a := range f.resumeAll(f.vms[1:], texts) {
				assert.Equal(t, http.StatusOK, a.status, a.body)
				assert.Len(t, versionsIn(texts[id]+a.body), 1, texts[id]+a.body)
			}
		})
	}
}

// TestStreamIsNotResumedOnceAllVMsAreLost replaces all VMs while two software versions serve, and after the older one has left:
// no VM knows then what began a stream.
func TestStreamIsNotResumedOnceAllVMsAreLost(t *testing.T) {
	t.Parallel()
	for _, hasLeft := range []bool{false, true} {
		t.Run(fmt.Sprintf("hasLeft=%t", hasLeft), func(t *testing.T) {
			t.Parallel()
			f := newMixedFleet(t, 2)
			texts := f.beginAll(f.vms[0], 30)
			f.awaitRecord("llm", 2)
			for _, vm := range f.vms {
				require.NoError(t, vm.app.Stop(t.Context()))
			}
			if hasLeft {
				for _, id := range []string{"i-llm-1", "i-llm-2"} {
					f.store.Remove("servers", "", id)
				}
			}
			f.vms = nil
			vm := f.addVM()
			for id, a := range f.resumeAll([]*testVM{vm}, texts) {
				if a.status == http.StatusOK {
					assert.Len(t, versionsIn(texts[id]+a.body), 1, texts[id]+a.body)
					continue
				}
				assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
			}
		})
	}
}

// TestStreamIsResumedByNewVMsIfOneVersionServed replaces all VMs of a service with one software version.
func TestStreamIsResumedByNewVMsIfOneVersionServed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	id := newID("s")
	f.begin(f.vms[0], id)
	f.awaitRecord("llm", 1)
	for _, vm := range f.vms {
		require.NoError(t, vm.app.Stop(t.Context()))
	}
	f.vms = nil
	assert.Equal(t, http.StatusOK, f.resume(f.addVM(), id).status)
}

// TestItemGoesOnAtItsSoftwareVersion breaks items of batch jobs off, and removes one of the software versions that began them.
func TestItemGoesOnAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	f := newMixedFleet(t, 1)
	for _, e := range f.endpoints {
		e.SetFault(func(n int, _ *http.Request) standin.EndpointFault {
			if n%2 == 0 {
				return standin.Truncate
			}
			return standin.NoEndpointFault
		})
	}
	items := newItems(40)
	job := newID("job")
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	time.Sleep(50 * time.Millisecond)
	for _, id := range []string{"i-llm-1", "i-llm-2"} {
		f.store.Remove("servers", "", id)
	}
	for _, r := range f.await(f.vms[0], job, len(items)).Results {
		require.Equal(t, "succeeded", r.State)
		events := "data: " + strings.ReplaceAll(r.Output, "\n", "\ndata: ")
		assert.Len(t, versionsIn(events), 1, r.Output)
		assert.Equal(t, 6, strings.Count(events, "data: "))
	}
}
