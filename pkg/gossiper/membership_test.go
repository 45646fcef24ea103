package gossiper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

// TestMajorityNeedsTheListAndTheOthers guards against a VM that takes itself for the majority before it knows the others, or
// after it lost most of them; VMs that left don't count.
func TestMajorityNeedsTheListAndTheOthers(t *testing.T) {
	g, _ := newTestGossiper("a", &changeLog{})
	assert.False(t, g.Membership().IsMajority, "the list isn't read")
	g.applyTable(watcher.Update{IsFull: true, Version: 3, Entries: rowsOf(t, "b", "c", "d", "e")})
	m := g.Membership()
	assert.True(t, m.IsMajority)
	assert.Equal(t, 5, m.Count)
	assert.ElementsMatch(t, []string{"b", "c", "d", "e"}, m.Others)
	for _, vm := range []string{"b", "c"} {
		require.NoError(t, g.receive(datagramOf(t, vm, 1, detector.Leaving), peerAddress))
	}
	assert.Equal(t, []string{"a", "d", "e"}, g.Membership().Capable)
	assert.ElementsMatch(t, []string{"b", "c"}, g.Membership().Former)
	now := time.Now()
	for g.StateOf("d", 1) != Lost || g.StateOf("e", 1) != Lost {
		now = now.Add(20 * time.Millisecond)
		g.handle(now, detector.Woken{})
	}
	assert.False(t, g.Membership().IsMajority, "d and e are silent")
	assert.Subset(t, g.Membership().Former, []string{"d", "e"})
}
