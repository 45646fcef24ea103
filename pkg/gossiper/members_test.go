package gossiper

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/packer"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

var peerAddress = netip.MustParseAddrPort("127.0.0.1:1")

// datagramOf returns a probe of a VM's process as the peer receives it.
func datagramOf(t testing.TB, vm string, incarnation int64, state detector.State) []byte {
	t.Helper()
	raw, err := packer.EncodeDatagram(detector.Probe{Number: 1, Gossip: detector.Gossip{From: detector.Member{
		VM: vm, Address: peerAddress, Region: "r", State: state, Incarnation: uint64(incarnation) << refutationBits,
	}}})
	require.NoError(t, err)
	return append([]byte{typeMembers, formatVersion, flagHasStore}, raw...)
}

// TestRestartedVMIsLive checks that a VM restarted under the same name counts as live at once, also if its new row arrives
// before its first message, and that a late message of the stopped process changes nothing.
func TestRestartedVMIsLive(t *testing.T) {
	for _, isRowFirst := range []bool{true, false} {
		t.Run(fmt.Sprintf("isRowFirst=%t", isRowFirst), func(t *testing.T) {
			g, _ := newTestGossiper("a", &changeLog{})
			require.NoError(t, g.receive(datagramOf(t, "b", 1, detector.Alive), peerAddress))
			require.NoError(t, g.receive(datagramOf(t, "b", 1, detector.Leaving), peerAddress))
			assert.Equal(t, Leaving, g.StateOf("b", 1))
			assert.Len(t, g.LiveVMs(), 1)
			row := []byte(`{"address":"127.0.0.1:1","incarnation":2,"region":"r"}`)
			if isRowFirst {
				g.applyTable(watcher.Update{Entries: []storer.Entry{{Table: VMTable, Key: "b", Version: 9, Value: row}}})
			} else {
				require.NoError(t, g.receive(datagramOf(t, "b", 2, detector.Alive), peerAddress))
			}
			assert.Equal(t, Live, g.StateOf("b", 2))
			assert.Equal(t, Lost, g.StateOf("b", 1))
			assert.Len(t, g.LiveVMs(), 2)
			require.NoError(t, g.receive(datagramOf(t, "b", 1, detector.Lost), peerAddress))
			assert.Equal(t, Live, g.StateOf("b", 2))
		})
	}
}

// TestSilentVMIsLostAndComesBack stops and resumes a VM's answers in virtual time: it is lost about SilenceTimeout later, is
// assumed to be partitioned meanwhile, and is live again after its first message.
func TestSilentVMIsLostAndComesBack(t *testing.T) {
	g, _ := newTestGossiper("a", &changeLog{})
	now := time.Now()
	require.NoError(t, g.receive(datagramOf(t, "b", 1, detector.Alive), peerAddress))
	start := now
	for g.StateOf("b", 1) != Lost {
		require.Less(t, now.Sub(start), 3*SilenceTimeout, "the silent VM is never called lost")
		now = now.Add(20 * time.Millisecond)
		g.handle(now, detector.Woken{})
	}
	assert.Greater(t, now.Sub(start), suspicionTimeout)
	assert.True(t, g.HasSilentVM())
	assert.Len(t, g.LiveVMs(), 1)
	refuted, err := packer.EncodeDatagram(detector.Probe{Number: 2, Gossip: detector.Gossip{From: detector.Member{
		VM: "b", Address: peerAddress, Region: "r", State: detector.Alive, Incarnation: 1<<refutationBits + 1,
	}}})
	require.NoError(t, err)
	require.NoError(t, g.receive(append([]byte{typeMembers, formatVersion, 0}, refuted...), peerAddress))
	assert.Equal(t, Live, g.StateOf("b", 1), "a refutation is not a new process")
	assert.False(t, g.HasSilentVM())
}

// TestUnknownVMsAreLiveUntilTheListIsRead starts a VM while the store doesn't answer: it must not call its peers lost, and take
// their jobs over, because it hasn't heard of them.
func TestUnknownVMsAreLiveUntilTheListIsRead(t *testing.T) {
	g, _ := newTestGossiper("a", &changeLog{})
	assert.Equal(t, Live, g.StateOf("b", 1))
	g.applyTable(watcher.Update{IsFull: true, Version: 3})
	assert.Equal(t, Live, g.StateOf("b", 1), "a VM that is not listed may just have started")
	g.listedAt = time.Now().Add(-SilenceTimeout)
	assert.Equal(t, Lost, g.StateOf("b", 1))
}

// TestVMThatLeftIsNotSilent stops a VM that has said that it leaves: no engine has to be polled, as for a VM that may only
// be cut off.
func TestVMThatLeftIsNotSilent(t *testing.T) {
	g, _ := newTestGossiper("a", &changeLog{})
	now := time.Now()
	require.NoError(t, g.receive(datagramOf(t, "b", 1, detector.Leaving), peerAddress))
	for range 300 {
		now = now.Add(20 * time.Millisecond)
		g.handle(now, detector.Woken{})
	}
	assert.Equal(t, Lost, g.StateOf("b", 1))
	assert.False(t, g.HasSilentVM())
}

// TestRankPrefersCapableVMs checks that VMs of the group's region with little processor time assign no groups, and that VMs of
// another region do so only if the region has none.
func TestRankPrefersCapableVMs(t *testing.T) {
	g, _ := newTestGossiper("a", &changeLog{})
	g.cfg.Capacity = 0.2
	rows := []storer.Entry{}
	for i := range 6 {
		capacity, region := 0.8, "r"
		if i >= 3 {
			capacity, region = 0.19, "s"
		}
		value := fmt.Sprintf(`{"address":"127.0.0.1:%d","incarnation":1,"region":%q,"capacity":%g}`, i+1, region, capacity)
		rows = append(rows, storer.Entry{Key: fmt.Sprintf("v%d", i), Version: 1, Value: []byte(value)})
	}
	g.applyTable(watcher.Update{IsFull: true, Version: 1, Entries: rows})
	assert.ElementsMatch(t, []string{"v0", "v1", "v2"}, g.Rank("g", "r"))
	assert.ElementsMatch(t, []string{"v3", "v4", "v5"}, g.Rank("g", "s"))
	assert.ElementsMatch(t, []string{"v0", "v1", "v2"}, g.Rank("g", "unknown"))
	first := g.Rank("g", "r")[0]
	g.recordChange(time.Now(), detector.Member{VM: first, Region: "r", State: detector.Lost, Incarnation: 1 << refutationBits})
	assert.NotContains(t, g.Rank("g", "r"), first)
}

// TestMalformedDatagramsChangeNothing sends datagrams of other versions and types, and such that are too short or too long.
func TestMalformedDatagramsChangeNothing(t *testing.T) {
	good := datagramOf(t, "b", 1, detector.Alive)
	otherVersion := append([]byte{typeMembers, formatVersion + 1, 0}, good[headerBytes:]...)
	otherType := append([]byte{0x00, formatVersion, 0}, good[headerBytes:]...)
	for _, datagram := range [][]byte{
		nil, good[:2], good[:len(good)-1], otherVersion, otherType, append(good, make([]byte, maxDatagramBytes)...),
	} {
		g, _ := newTestGossiper("a", &changeLog{})
		require.Error(t, g.receive(datagram, peerAddress))
		assert.Len(t, g.LiveVMs(), 1)
	}
}

func FuzzReceive(f *testing.F) {
	f.Add(datagramOf(f, "b", 1, detector.Alive))
	f.Add([]byte{typePayload, formatVersion, 0, 1, 2, 3})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		g, _ := newTestGossiper("a", &changeLog{})
		if err := g.receive(datagram, peerAddress); err != nil {
			assert.Len(t, g.LiveVMs(), 1)
		}
	})
}

// TestRankOfFollowsAssign removes the VM that a key is assigned to, one after the other: each one has the next rank.
func TestRankOfFollowsAssign(t *testing.T) {
	var live []VMIncarnation
	for n := range 20 {
		live = append(live, VMIncarnation{Name: fmt.Sprint("vm-", n), Incarnation: int64(n)})
	}
	left := slices.Clone(live)
	for n := range live {
		vm, ok := Assign("key", left)
		require.True(t, ok)
		rank, vms := RankOf("key", live, vm.Incarnation)
		assert.Equal(t, n, rank)
		assert.Equal(t, len(live), vms)
		left = slices.DeleteFunc(left, func(other VMIncarnation) bool { return other == vm })
	}
	_, vms := RankOf("key", live, 99)
	assert.Zero(t, vms, "a VM that isn't live")
}
