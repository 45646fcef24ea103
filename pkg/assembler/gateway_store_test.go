package assembler_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

func bytesReader(b []byte) io.Reader { return bytes.NewReader(b) }

func mustJSON(t *testing.T, v any) []byte {
	t.Helper()
	b, err := json.Marshal(v)
	require.NoError(t, err)
	return b
}

// partitionFor computes the partition key of a job's rows. It repeats the daemon's layout, on which VMs of different versions
// must agree.
func partitionFor(job string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return strconv.Itoa(int(h.Sum32() % 8))
}

func checkpointName(job string, item int, after int64) string {
	return fmt.Sprintf("%s/%05d/%08d", job, item, after+1)
}

// TestSubmitUnderStoreFaults checks that the answer to a job's submission matches what happens to the job under each fault of
// the store: nothing of a refused job runs, and the items of an accepted job run once.
func TestSubmitUnderStoreFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		path  string
		fault standin.StoreFault
		// times is how many matching calls have the fault; 0 means all.
		times    int64
		statuses []int
	}{
		{"a write whose answer is lost is read back", "/rows-tx", standin.LoseAnswer, 1, []int{202}},
		{"a job whose write is applied late is accepted once", "/rows-tx", standin.ExecuteLate, 1, []int{202}},
		{"every answer lost leaves the outcome unknown", "/rows-tx", standin.LoseAnswer, 0, []int{202, 504}},
		{"a busy store means a refusal", "/rows-tx", standin.Busy, 0, []int{503}},
		{"a rate-limited store means a refusal", "/rows-tx", standin.Limited, 0, []int{503}},
		{"a large job whose items can't be written is refused", "/blob-put/", standin.Reset, 0, []int{503}},
		{"a large job whose write of items gets no answer", "/blob-put/", standin.LoseAnswer, 1, []int{503, 202}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 1)
			var faulted atomic.Int64
			f.store.SetFault(func(r *http.Request) standin.StoreFault {
				isMatch := len(r.URL.Path) >= len(c.path) && r.URL.Path[:len(c.path)] == c.path
				if isMatch && (c.times == 0 || faulted.Add(1) <= c.times) {
					return c.fault
				}
				return standin.NoFault
			})
			items := newItems(2)
			if c.path == "/blob-put/" {
				items[0].Body = bytes.Repeat([]byte("large "), 100_000)
			}
			job := newID("job")
			a := f.submit(f.vms[0], job, items)
			assert.Contains(t, c.statuses, a.status)
			f.store.SetFault(func(*http.Request) standin.StoreFault { return standin.NoFault })
			if a.status == http.StatusServiceUnavailable {
				// One second is longer than the delay of a write that the store applies late.
				assert.Never(t, func() bool { return len(f.runsOf(items[0].ID)) > 0 }, time.Second, 20*time.Millisecond,
					"an item of a refused job runs")
				return
			}
			require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
			assert.Len(t, f.await(f.vms[0], job, 2).Results, 2)
			assert.Len(t, f.runsOf(items[0].ID), 1)
		})
	}
}

// TestResultsAreListedOnceDespiteLostAnswers makes the store lose the answer of every fourth change and apply another fourth
// late: each item must be listed once, with its complete output.
func TestResultsAreListedOnceDespiteLostAnswers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	var calls atomic.Int64
	f.store.SetFault(func(r *http.Request) standin.StoreFault {
		if r.URL.Path != "/rows-tx" {
			return standin.NoFault
		}
		switch calls.Add(1) % 4 {
		case 1:
			return standin.LoseAnswer
		case 2:
			return standin.ExecuteLate
		default:
			return standin.NoFault
		}
	})
	job, items := newID("job"), newItems(10)
	require.Eventually(t, func() bool { return f.submit(f.vms[0], job, items).status == http.StatusAccepted },
		maxWait, 50*time.Millisecond)
	p := f.await(f.vms[1], job, len(items))
	seen := map[string]bool{}
	for _, r := range p.Results {
		assert.False(t, seen[r.ID])
		seen[r.ID] = true
		assert.Equal(t, standin.CompleteOutput(r.ID, 6), r.Output)
	}
	assert.Len(t, p.Results, len(items))
}

func TestVMWithoutStoreAnswers503(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	job, items := newID("job"), newItems(1)
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	f.await(f.vms[0], job, 1)
	f.store.SetFault(func(*http.Request) standin.StoreFault { return standin.Busy })
	_, a := f.read(f.vms[0], "unknown", 0)
	assert.Equal(t, http.StatusServiceUnavailable, a.status,
		"a VM that can't read the store must not answer that a job doesn't exist")
}

func TestEndedJobStops(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	for _, e := range f.endpoints {
		e.Step = 300 * time.Millisecond
	}
	job, items := newID("job"), newItems(20)
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	require.Eventually(t, func() bool { return len(f.allRuns()) > 0 }, maxWait, 10*time.Millisecond, "no item runs")
	for range 2 {
		a := f.call(t.Context(), f.vms[1], http.MethodDelete, "/lots/"+job, newID("e"), "")
		require.Equal(t, http.StatusOK, a.status)
	}
	ended := time.Now()
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(f.allRuns(), func(r standin.Run) bool { return !r.WasCancelled })
	}, 1500*time.Millisecond, 10*time.Millisecond, "the endpoints still run items of an ended job")
	// Items still queued would start in the freed slots.
	before := len(f.allRuns())
	assert.Never(t, func() bool { return len(f.allRuns()) != before }, time.Second, 20*time.Millisecond,
		"an ended job starts a further item")
	for _, r := range f.allRuns() {
		assert.Less(t, r.At.Sub(ended), 500*time.Millisecond, "an ended job starts a further item")
	}
}

// TestVMWithoutStoreLearnsFromPeers makes the store unavailable to one of two VMs while the configuration and an endpoint's
// state change: that VM must learn of both from its peer.
func TestVMWithoutStoreLearnsFromPeers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	cutOff := "dogwoodledge/" + f.vms[1].name
	var refused atomic.Int64
	f.store.SetFault(func(r *http.Request) standin.StoreFault {
		if r.UserAgent() == cutOff {
			refused.Add(1)
			return standin.Busy
		}
		return standin.NoFault
	})
	f.server.CloseClientConnections()
	require.Eventually(t, func() bool { return refused.Load() >= 8 }, maxWait, 10*time.Millisecond,
		"the VM does not call the store")
	f.routes = append(f.routes, route("safe", "/new/", "app", nil))
	f.configure()
	drained := f.endpoint("i-app-1")
	f.store.Put("servers", "", drained.ID, drained.Entry("draining"))
	require.Eventually(t, func() bool {
		return f.call(t.Context(), f.vms[1], http.MethodPost, "/new/1", newID("n"), "").status == http.StatusOK
	}, maxWait, 50*time.Millisecond, "the VM without the store does not learn of the route")
	f.requireNoRequests(f.vms[1], drained)
}

func TestOldJobsAreDropped(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.jobStatus = time.Second - jobmanager.KeepMargin
	f.batchRoute()["cap"] = 5 * 940
	f.configure()
	f.addVM()
	f.addVM()
	first, second := newID("job"), newID("job")
	items := newItems(4)
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], first, items).status)
	f.await(f.vms[0], first, len(items))
	require.Eventually(t, func() bool {
		_, a := f.read(f.vms[1], first, 0)
		return a.status == http.StatusNotFound
	}, maxWait, 100*time.Millisecond, "the job is still listed after its retention period")
	assert.Equal(t, http.StatusAccepted, f.submit(f.vms[1], second, newItems(4)).status,
		"the dropped job's tokens still count against the quota")
}

// TestVMThatKnowsNoPeersIsNotReady makes the list of VMs unavailable to a starting VM. It must not become ready: if it then
// lost the store, it would have no peer to learn from.
func TestVMThatKnowsNoPeersIsNotReady(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.store.SetFault(func(r *http.Request) standin.StoreFault {
		if r.UserAgent() == "dogwoodledge/front-2" && r.URL.Query().Get("table") == "vm" {
			return standin.Busy
		}
		return standin.NoFault
	})
	time.AfterFunc(time.Second, func() {
		f.store.SetFault(func(*http.Request) standin.StoreFault { return standin.NoFault })
	})
	start := time.Now()
	f.addVM()
	assert.Greater(t, time.Since(start), 900*time.Millisecond)
}
