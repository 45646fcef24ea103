package assembler_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// enginesInTurn are engines that end one after the other; others take their places.
type enginesInTurn struct {
	f *testFleet
	// prepare sets what an engine sends; up holds the engines that have not ended, the next one first.
	prepare func(*standin.Endpoint)
	up      []*standin.Endpoint
	ended   int
}

// prepareEnginesInTurn makes n engines of the fleet, whose answers have a number of events, each a step apart.
func (f *testFleet) prepareEnginesInTurn(n, events int, step time.Duration) *enginesInTurn {
	f.t.Helper()
	for i := range n - 2 {
		f.addEndpoint(fmt.Sprintf("i-llm-%d", i+3), "llm")
	}
	f.awaitEndpoints()
	turn := &enginesInTurn{f: f, prepare: func(e *standin.Endpoint) { e.Events, e.Step = events, step }}
	for _, e := range f.endpoints {
		if e.Service == "llm" {
			turn.add(e)
		}
	}
	return turn
}

func (t *enginesInTurn) add(e *standin.Endpoint) {
	t.prepare(e)
	t.up = append(t.up, e)
}

// crash ends n engines, apart from each other; another one takes the place of each after downFor.
func (t *enginesInTurn) crash(n int, apart, downFor time.Duration) {
	for range n {
		e := t.up[0]
		t.up = t.up[1:]
		go e.Close()
		time.Sleep(downFor)
		t.f.store.Remove("servers", "", e.ID)
		t.add(t.f.addEndpoint(fmt.Sprintf("i-next-%d", t.ended), "llm"))
		t.ended++
		time.Sleep(apart - downFor)
	}
}

// TestSoundItemsAreNotLeftLyingAfterEnginesCrashedInTurn ends six engines in turn, each more than twice, under items that share a
// part of their prompts, and starts others in their place. Once all is calm, the users want no item to lie beside idle engines
// for 5 s.
func TestSoundItemsAreNotLeftLyingAfterEnginesCrashedInTurn(t *testing.T) {
	t.Parallel()
	const (
		engines, crashes = 6, 14
		apart, downFor   = 300 * time.Millisecond, 250 * time.Millisecond
		// maxLying is the users' time to react and their 5 s.
		maxLying = timeToReact + 5*time.Second
	)
	f := newFleet(t, 2)
	turn := f.prepareEnginesInTurn(engines, 400, 20*time.Millisecond)
	items := newItems(24)
	for n := range items {
		items[n].Headers["X-Prompt-Prefix"] = callerPart + fmt.Sprintf(":200,f%d:150", n)
	}
	job := newID("job")
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	time.Sleep(time.Second)
	turn.crash(crashes, apart, downFor)
	calm := time.Now()
	idle := map[string]bool{}
	for _, i := range items {
		idle[i.ID] = true
	}
	var left int
	for left = len(items); left > 0 && time.Since(calm) < maxLying; time.Sleep(20 * time.Millisecond) {
		p, _ := f.read(f.vms[0], job, 0)
		for _, r := range p.Results {
			delete(idle, r.ID)
		}
		for _, r := range f.allRuns() {
			if r.At.After(calm) {
				delete(idle, r.ID)
			}
		}
		left = len(idle)
	}
	t.Logf("%d of %d items lie %s after the last crash", left, len(items), time.Since(calm))
	assert.Zero(t, left, "items lie while all engines are idle")
}

// TestSoundStreamsAreServedAfterEnginesCrashedInTurn ends engines in turn under streams that share a part of their prompts and
// last longer than an engine lives. It guards against a part that sound requests share being refused once all is calm.
func TestSoundStreamsAreServedAfterEnginesCrashedInTurn(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/draft/1", "/note/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			const (
				callers        = 12
				apart, downFor = 300 * time.Millisecond, 250 * time.Millisecond
			)
			f := newFleet(t, 2)
			turn := f.prepareEnginesInTurn(6, 150, 20*time.Millisecond)
			ask := func(n int) answer {
				id := newID("s")
				return f.call(t.Context(), f.vms[n%2], http.MethodPost, path, id, "prompt "+id, withHeader("X-Token-Count", "450,250"),
					withHeader("X-Deadline-Ms", "5000"), withHeader("X-Prompt-Prefix", callerPart+fmt.Sprintf(":200,f%d:150", n)))
			}
			var isCalm atomic.Bool
			var wg sync.WaitGroup
			for n := range callers {
				wg.Go(func() {
					for !isCalm.Load() {
						ask(n)
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
			time.Sleep(time.Second)
			turn.crash(14, apart, downFor)
			calm := time.Now()
			isCalm.Store(true)
			time.Sleep(time.Until(calm.Add(timeToReact)))
			for n := range callers {
				wg.Go(func() {
					for time.Since(calm) < timeToReact+5*time.Second {
						if ask(n).status == http.StatusOK {
							return
						}
						time.Sleep(200 * time.Millisecond)
					}
					assert.Fail(t, "sound requests are refused while all engines are idle", "caller %d", n)
				})
			}
			wg.Wait()
			t.Logf("all served %s after the last crash", time.Since(calm))
		})
	}
}
