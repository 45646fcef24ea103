package assigner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// TestAccountAboveItsShareLeavesTheQueueToOthers guards against an account whose excess makes the requests of all others late:
// while slots are free it gets them, and while none is, it may wait less long than an account within its share.
func TestAccountAboveItsShareLeavesTheQueueToOthers(t *testing.T) {
	s, now := newShares(), t0
	endpoints := endpointsOf("e1", "e2")
	ask := func(account string, priority int) float64 {
		return s.waitShare(now, placer.Request{Account: account, Priority: priority}, time.Second, endpoints)
	}
	for i := range 100 {
		now = now.Add(20 * time.Millisecond)
		ask("hot", 0)
		s.gave(now, "hot")
		if i%10 == 0 {
			account := fmt.Sprintf("small-%d", i%30)
			assert.Equal(t, 1.0, ask(account, 0), "an account within its share")
			s.gave(now, account)
		}
	}
	now = now.Add(levelInterval)
	assert.Equal(t, lowerShare, ask("hot", 0), "an account above its share")
	assert.Equal(t, 1.0, ask("", 0), "a request without an account")
	assert.Equal(t, lowerShare, ask("", 1), "a less urgent request")
	assert.InDelta(t, lowerShare*lowerShare, ask("hot", 1), 1e-9, "a less urgent request of an account above its share")
	now = now.Add(5 * usageTime)
	assert.Equal(t, 1.0, ask("hot", 1), "once there is room, and no more urgent request")
}

// TestOneAccountMayUseAllSlots guards against slots that stay free because accounts are held to shares that nobody else wants.
func TestOneAccountMayUseAllSlots(t *testing.T) {
	a := New(regions, rand.New(rand.NewPCG(1, 1)), 0)
	a.Handle(t0, Configured{Endpoints: endpointsOf("e1", "e2")})
	for n := range 16 {
		out := a.Handle(t0, Asked{VM: "v", Number: uint64(n + 1), Request: placer.Request{
			Route: registrar.Route{Name: "r", Objective: 300 * time.Millisecond}, Left: 5 * time.Second, Account: "only", Priority: 3,
		}})
		_, ok := out[len(out)-1].(Placed).Decision.(placer.Send)
		assert.True(t, ok, "request %d", n)
	}
}
