package isolator_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestTrialHoldsItemsOfOtherVMs begins a trial on one VM while none is due on others: these wait, also one that knows of it
// by the rows of a peer alone.
func TestTrialHoldsItemsOfOtherVMs(t *testing.T) {
	s, addr := newStore(t)
	a, b, c := newOne(t, addr, 1, true), newOne(t, addr, 2, false), newOne(t, netip.MustParseAddrPort("127.0.0.1:1"), 3, false)
	putStrikes(t, s, "ca", a, b)
	c.ApplyPeerRows(a.Rows())
	parts := []string{"ca", "request:i"}
	require.True(t, a.HoldOf(parts).IsHeld(time.Now()))
	require.Eventually(t, func() bool { return !a.HoldOf(parts).IsHeld(time.Now()) }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, []string{"ca"}, a.HoldOf(parts).Parts)
	began := a.BeginTrial("i", a.HoldOf(parts).Parts)
	assert.True(t, a.HoldOf(parts).IsHeld(time.Now()))
	c.ApplyPeerRows(a.Rows())
	isDueElsewhere := func() bool { return !b.HoldOf(parts).IsHeld(time.Now()) || !c.HoldOf(parts).IsHeld(time.Now()) }
	assert.Never(t, isDueElsewhere, 2500*time.Millisecond, 5*time.Millisecond, "a second VM tries the part")
	assert.Greater(t, b.HoldOf(parts).Due.Sub(began), 3*time.Second)
	assert.EqualValues(t, 1, a.Counters.Probes.Load())
}
