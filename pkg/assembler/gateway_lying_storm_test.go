package assembler_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// forgivenFor is how long the users count no item as lost after it failed at an engine.
const forgivenFor = 20 * time.Second

// storm ends engines of a fleet, which are back after some time under other ids.
type storm struct {
	*testFleet

	mu     sync.Mutex
	source *rand.Rand
	// prefill is that of the engines.
	prefill time.Duration
	// up holds the engines that have not ended, and restarts those that are not back yet.
	up       []*standin.Endpoint
	restarts sync.WaitGroup
	ended    []*standin.Endpoint
	endedAt  []time.Time
}

func newStorm(t *testing.T, vms, engines int, seed uint64, prefill time.Duration) *storm {
	s := &storm{testFleet: newFleet(t, vms), source: rand.New(rand.NewPCG(seed, 0)), prefill: prefill}
	s.prepare = s.arm
	for _, id := range []string{"i-llm-1", "i-llm-2"} {
		s.store.Remove("servers", "", id)
	}
	for n := range engines {
		s.up = append(s.up, s.addEndpoint(fmt.Sprintf("i-engine-%d", n), "llm"))
	}
	s.awaitEndpoints()
	s.awaitPeers()
	return s
}

// arm makes the engine crash under requests with the body "crash".
func (s *storm) arm(e *standin.Endpoint) {
	e.Events, e.Step, e.Prefill, e.CrashBody = 400, 20*time.Millisecond, s.prefill, "crash"
	e.OnCrash = func() { s.end(e) }
}

// end records that an engine has ended, and starts another one in its place.
func (s *storm) end(e *standin.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.up, e) {
		return
	}
	s.up = slices.DeleteFunc(s.up, func(other *standin.Endpoint) bool { return other == e })
	s.ended, s.endedAt = append(s.ended, e), append(s.endedAt, time.Now())
	id := fmt.Sprintf("i-next-%d", len(s.ended))
	s.restarts.Add(1)
	time.AfterFunc(s.between(250*time.Millisecond, 800*time.Millisecond), func() {
		defer s.restarts.Done()
		s.store.Remove("servers", "", e.ID)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.up = append(s.up, s.addEndpoint(id, "llm"))
	})
}

func (s *storm) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.source.Int64N(int64(longest-shortest)))
}

// endInTurn ends engines one after the other until the time.
func (s *storm) endInTurn(until time.Time) {
	for time.Now().Before(until) {
		s.mu.Lock()
		pause := s.between(200*time.Millisecond, time.Second)
		var e *standin.Endpoint
		if len(s.up) > 0 {
			e = s.up[s.source.IntN(len(s.up))]
		}
		s.mu.Unlock()
		if e != nil {
			s.end(e)
			go e.Close()
		}
		time.Sleep(pause)
	}
}

// repeat sends requests that crash engines until the time, each of them again and again through all VMs. Every other second one
// more is sent.
func (s *storm) repeat(until time.Time, opts ...callOption) {
	opts = append(opts, withHeader("X-Token-Count", "450,250"), withHeader("X-Deadline-Ms", "1500"))
	begun := time.Now()
	for n := 0; time.Now().Before(until); n++ {
		known := 1 + int(time.Since(begun)/(2*time.Second))
		s.call(s.t.Context(), s.vms[n%len(s.vms)], http.MethodPost, fmt.Sprintf("/draft/%d", n%known), newID("c"), "crash", opts...)
		time.Sleep(150 * time.Millisecond)
	}
}

// lastEnd returns when an engine last ended at which the item had run.
func (s *storm) lastEnd(item jobItem) time.Time {
	at := time.Time{}
	for n, e := range s.ended {
		if slices.ContainsFunc(e.Runs(), func(r standin.Run) bool { return r.ID == item.ID }) {
			at = s.endedAt[n]
		}
	}
	return at
}

// assertNoneLies checks once all is calm that engines work on all items without a result: timeToReact and maxLie after the last
// engine ended, or forgivenFor after the last one that ended under the item.
func (s *storm) assertNoneLies(jobs jobItems) {
	s.t.Helper()
	calm := s.endedAt[len(s.endedAt)-1]
	isLogged := false
	for !s.t.Failed() {
		lying := s.lying(jobs, s.up)
		if len(lying) == 0 {
			s.t.Logf("%d engines ended; no item lay %s after the last one", len(s.ended), time.Since(calm))
			return
		}
		if time.Since(calm) > timeToReact+maxLie {
			if !isLogged {
				isLogged = true
				s.t.Logf("%d engines ended; %d items lie %s after the last one", len(s.ended), len(lying), time.Since(calm))
			}
			for _, i := range lying {
				if since := time.Since(s.lastEnd(i)); since > forgivenFor {
					parts := []string{callerPart, quarantiner.RequestPart(http.MethodPost, testHost, i.Path, i.Body)}
					assert.Fail(s.t, "an item lies while all engines are idle", "%s, %s after an engine ended under it: %+v", i.ID, since,
						s.vms[0].isolator.Check(parts))
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestItemsAreNotLeftLyingAfterAStorm ends engines in turn under items that share a part of their prompts, beside online requests
// that crash engines and are repeated.
func TestItemsAreNotLeftLyingAfterAStorm(t *testing.T) {
	const (
		lasts   = 15 * time.Second
		engines = 6
	)
	for seed := range uint64(8) {
		prefill := []time.Duration{400 * time.Millisecond, time.Second}[seed/4]
		t.Run(fmt.Sprintf("seed %d, first events after %s", seed, prefill), func(t *testing.T) {
			t.Parallel()
			s := newStorm(t, 3, engines, seed, prefill)
			jobs := jobItems{}
			for n := range 2 {
				job := newID("job")
				jobs[job] = itemsWith(callerPart, 12)
				require.Equal(t, http.StatusAccepted, s.submit(s.vms[n], job, jobs[job]).status)
			}
			time.Sleep(time.Second)
			until := time.Now().Add(lasts)
			var opts []callOption
			if seed%2 == 0 {
				// The requests share the items' part, too.
				opts = append(opts, withHeader("X-Prompt-Prefix", callerPart+":200,c0:150"))
			}
			var wg sync.WaitGroup
			wg.Go(func() { s.endInTurn(until) })
			wg.Go(func() { s.repeat(until, opts...) })
			wg.Wait()
			// An engine that crashed breaks its connections off before it says so.
			time.Sleep(100 * time.Millisecond)
			s.restarts.Wait()
			s.assertNoneLies(jobs)
		})
	}
}
