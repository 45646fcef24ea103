package assembler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
)

// TestVMWhoseClockWasSetBackIsLive restarts a VM whose earlier process had a later clock: to its peer, the new process must not
// be the earlier one that was replaced.
func TestVMWhoseClockWasSetBackIsLive(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.store.Put(gossiper.VMTable, "", "front-2", map[string]any{
		"address": "127.0.0.1:1", "incarnation": time.Now().Add(time.Hour).UnixMicro(), "region": "syd", "capacity": 1,
	})
	peer := f.vms[0].gossiper
	require.Eventually(t, func() bool { return len(peer.LiveVMs()) == 2 }, maxWait, 10*time.Millisecond)
	vm := f.addVM()
	time.Sleep(2 * time.Second)
	assert.Equal(t, gossiper.Live, peer.StateOf(vm.name, vm.gossiper.Incarnation()))
}
