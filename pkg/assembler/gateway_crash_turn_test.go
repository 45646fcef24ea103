package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

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
	for n := range engines - 2 {
		f.addEndpoint(fmt.Sprintf("i-llm-%d", n+3), "llm")
	}
	f.awaitEndpoints()
	var up []*standin.Endpoint
	prepare := func(e *standin.Endpoint) {
		e.Events, e.Step = 400, 20*time.Millisecond
		up = append(up, e)
	}
	for _, e := range f.endpoints {
		if e.Service == "llm" {
			prepare(e)
		}
	}
	items := newItems(24)
	for n := range items {
		items[n].Headers["X-Prompt-Prefix"] = callerPart + fmt.Sprintf(":200,f%d:150", n)
	}
	job := newID("job")
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	time.Sleep(time.Second)
	for n := range crashes {
		e := up[0]
		up = up[1:]
		go e.Close()
		time.Sleep(downFor)
		f.store.Remove("servers", "", e.ID)
		prepare(f.addEndpoint(fmt.Sprintf("i-next-%d", n), "llm"))
		time.Sleep(apart - downFor)
	}
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
