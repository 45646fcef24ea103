package assembler_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// maxLie is how long the users allow an item to lie while engines are idle.
const maxLie = 5 * time.Second

// assertBegun checks that engines begin all of the items within the time after since.
func (f *testFleet) assertBegun(items []jobItem, since time.Time, within time.Duration) {
	f.t.Helper()
	begun := f.begun(items)
	for begun < len(items) && time.Since(since) < within {
		time.Sleep(10 * time.Millisecond)
		begun = f.begun(items)
	}
	f.t.Logf("%d of %d items had begun after %s", begun, len(items), time.Since(since))
	assert.Equal(f.t, len(items), begun, "items lie while all engines are idle")
}

// jobItems holds the items of jobs by the id of the job.
type jobItems map[string][]jobItem

// lying returns the items that have no result and that none of the engines works on.
func (f *testFleet) lying(jobs jobItems, engines []*standin.Endpoint) []jobItem {
	f.t.Helper()
	worked := map[string]bool{}
	for _, e := range engines {
		for _, r := range e.Runs() {
			worked[r.ID] = worked[r.ID] || !r.WasCancelled
		}
	}
	var lying []jobItem
	for job, items := range jobs {
		p, _ := f.read(f.vms[len(f.vms)-1], job, 0)
		for _, r := range p.Results {
			worked[r.ID] = true
		}
		for _, i := range items {
			if !worked[i.ID] {
				lying = append(lying, i)
			}
		}
	}
	return lying
}

// assertWorkedOn checks that engines work on all items that have no result, within the time after since.
func (f *testFleet) assertWorkedOn(jobs jobItems, engines []*standin.Endpoint, since time.Time, within time.Duration) {
	f.t.Helper()
	left := f.lying(jobs, engines)
	for len(left) > 0 && time.Since(since) < within {
		time.Sleep(10 * time.Millisecond)
		left = f.lying(jobs, engines)
	}
	f.t.Logf("%d items lay after %s", len(left), time.Since(since))
	assert.Empty(f.t, left, "items lie while all engines are idle")
}

// TestItemsOfAVersionThatEndedAreNotLeftLying ends all engines of the software version that began items; another version serves.
func TestItemsOfAVersionThatEndedAreNotLeftLying(t *testing.T) {
	t.Parallel()
	f := newMixedFleet(t, 1)
	for _, e := range f.endpoints {
		e.Events, e.Step = 400, 20*time.Millisecond
	}
	jobs := jobItems{newID("job"): newItems(16)}
	for job, items := range jobs {
		require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
		require.Eventually(t, func() bool { return f.begun(items) == len(items) }, maxWait, 10*time.Millisecond)
	}
	// Their outputs have events then.
	time.Sleep(500 * time.Millisecond)
	begun := 0
	for _, id := range []string{"i-llm-1", "i-llm-2"} {
		e := f.endpoint(id)
		begun += len(e.Runs())
		go e.Close()
	}
	ended := time.Now()
	assert.NotZero(t, begun, "the version that ended began no item")
	time.AfterFunc(time.Second, func() {
		f.store.Remove("servers", "", "i-llm-1")
		f.store.Remove("servers", "", "i-llm-2")
	})
	f.assertWorkedOn(jobs, []*standin.Endpoint{f.endpoint("i-llm-3"), f.endpoint("i-llm-4")}, ended, maxLie)
}

// TestItemsSentToAnotherInstanceAreNotLeftLying has another instance serve at the address of one of two engines.
func TestItemsSentToAnotherInstanceAreNotLeftLying(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	var misdirected atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			misdirected.Add(1)
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	t.Cleanup(other.Close)
	e := f.endpoint("i-llm-2")
	row := e.Entry("ready")
	row["address"] = other.Listener.Addr().String()
	f.store.Put("servers", "", e.ID, row)
	e.Close()
	f.awaitEndpoints()
	items := newItems(12)
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], newID("job"), items).status)
	f.assertBegun(items, time.Now(), maxLie)
	assert.NotZero(t, misdirected.Load(), "no item was sent to the other instance")
}

// TestItemsThatBrokeOffUnderALostVMAreNotLeftLying stores a job of a lost VM, whose items came some way before two engines ended
// under them.
func TestItemsThatBrokeOffUnderALostVMAreNotLeftLying(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.awaitPeers()
	items := newItems(4)
	job := newID("job")
	for n, i := range items {
		part := quarantiner.RequestPart(http.MethodPost, testHost, i.Path, i.Body)
		for strike := range 2 {
			at := time.Now().Add(-time.Duration(strike+1) * time.Second).UnixMilli()
			f.store.Put("quarantine", "", fmt.Sprintf("%s/e-%d@1", part, strike), fmt.Appendf(nil, "0@%d", at))
		}
		head := mustJSON(t, map[string]any{"item": n, "after": -1, "lastEvent": 1, "writer": "a", "isFirst": true})
		f.store.Put("checkpoint", partitionFor(job), checkpointName(job, n, -1),
			append(append(head, '\n'), standin.EventData(i.ID, 0)+"\n"+standin.EventData(i.ID, 1)...))
	}
	f.storeJob(job, items, nil)
	f.assertBegun(items, time.Now(), maxLie)
	for _, r := range f.await(f.vms[0], job, len(items)).Results {
		assert.Equal(t, standin.CompleteOutput(r.ID, 6), r.Output)
		assert.Equal(t, "1", f.runsOf(r.ID)[0].LastEvent, "the run does not go on where the output ended")
	}
}
