package soak

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/platform"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	// stable is how long all has been calm when a VM counts as in touch. A feed's call is young when its connection falls silent.
	stable    = 4 * time.Second
	feedIsNew = 500 * time.Millisecond
	// replaceInterval is the time between two endpoints that are replaced; each serves on for lingerTime after drain.
	replaceInterval = 800 * time.Millisecond
	lingerTime      = 2 * time.Second
	// drainSlack is added to drain for delays of a busy machine.
	drainSlack = 300 * time.Millisecond
)

// injectAfterwards injects, in half of the seeds, a fault that a VM in touch must not notice: all has been calm before it.
func (s *soak) injectAfterwards(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	inj := &injection{at: injectionWindow, duration: stable, n: random.IntN(1 << 20)}
	if random.IntN(2) == 0 {
		s.replaceEndpoints(inj)
	}
	random = rand.New(rand.NewPCG(seed, 5))
	inj = &injection{at: injectionWindow, duration: grace, n: random.IntN(1 << 20)}
	if random.IntN(2) == 0 {
		s.callWhileStopping(inj)
	}
}

// replaceEndpoints silences all connections to the store, and later, when all VMs are in touch again, replaces endpoints whose
// rows go at once. None of them may get a request later than drain after that.
func (s *soak) replaceEndpoints(inj *injection) {
	s.recordInjection(inj, "connections to the store silent, then endpoints replaced")
	old := []*endpoint{s.fleet.addEndpoint(note.service), s.fleet.addEndpoint(note.service)}
	time.Sleep(stable)
	s.fleet.addEndpoint(note.service)
	time.Sleep(feedIsNew)
	for _, v := range s.fleet.vms {
		v.link.silence()
	}
	time.Sleep(stable)
	goneAt := make([]time.Time, len(old))
	for i, e := range old {
		s.fleet.addEndpoint(note.service)
		s.fleet.store.Remove(platform.EndpointTable, "", e.ID)
		goneAt[i] = time.Now()
		time.Sleep(replaceInterval)
	}
	time.Sleep(drain + lingerTime)
	for i, e := range old {
		if v := checkDrain(e.ID, e.Runs(), goneAt[i]); isTimed && v != "" {
			s.addViolation("%s", v)
		}
		s.fleet.killEndpoint(e)
	}
}

// checkDrain returns a violation if the endpoint got a request later than drain after its row was removed, else "".
func checkDrain(id string, runs []standin.Run, goneAt time.Time) string {
	late, last := 0, time.Duration(0)
	for _, r := range runs {
		if after := r.At.Sub(goneAt); r.ID != "" && after > drain+drainSlack {
			late, last = late+1, after
		}
	}
	if late == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d requests reached %s after %s, the last %s after its row was removed",
		late, id, drain, last.Round(time.Millisecond))
}

// TestCheckDrainCatches gives checkDrain requests at the bound and after it.
func TestCheckDrainCatches(t *testing.T) {
	goneAt := time.Now()
	run := func(id string, after time.Duration) standin.Run { return standin.Run{ID: id, At: goneAt.Add(after)} }
	assert.Empty(t, checkDrain("e", []standin.Run{run("a", -time.Second), run("b", drain), run("", time.Minute)}, goneAt))
	assert.Contains(t, checkDrain("e", []standin.Run{run("a", drain), run("b", drain+drainSlack+time.Millisecond)}, goneAt),
		"DRAIN: 1 requests reached e")
}
