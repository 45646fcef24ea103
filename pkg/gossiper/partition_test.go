package gossiper

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/packer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

// receiveMember has the gossiper receive a probe of the member.
func receiveMember(t *testing.T, g *Gossiper, m detector.Member) {
	t.Helper()
	m.Address = peerAddress
	if m.Region == "" {
		m.Region = "r"
	}
	raw, err := packer.EncodeDatagram(detector.Probe{Number: 1, Gossip: detector.Gossip{From: m}})
	require.NoError(t, err)
	require.NoError(t, g.receive(append([]byte{typeMembers, formatVersion, 0}, raw...), peerAddress))
}

func namesOf(vms []VMIncarnation) []string {
	names := []string{}
	for _, vm := range vms {
		names = append(names, vm.Name)
	}
	return names
}

// TestPartitionedPeerIsLiveButNotInTouch checks that a VM which says that it reaches no endpoint gets no work, and isn't taken
// for silent or lost.
func TestPartitionedPeerIsLiveButNotInTouch(t *testing.T) {
	g, hook := newTestGossiper("a", &changeLog{})
	receiveMember(t, g, detector.Member{VM: "b", AvailabilityZone: "r-2", Incarnation: 1 << refutationBits})
	receiveMember(t, g, detector.Member{VM: "c", Region: "far", Incarnation: 1 << refutationBits})
	assert.ElementsMatch(t, []string{"a", "b", "c"}, namesOf(g.VMsInTouch()))
	assert.Equal(t, []Peer{
		{Name: "b", Address: peerAddress, Region: "r", AvailabilityZone: "r-2", IsNear: true},
		{Name: "c", Address: peerAddress, Region: "far"},
	}, g.PeersInTouch())

	cut := detector.Member{VM: "b", Incarnation: 1<<refutationBits + 1, IsPartitioned: true}
	receiveMember(t, g, cut)
	assert.True(t, g.IsPartitioned("b"))
	assert.Equal(t, true, hook.LastEntry().Data["partitioned"])
	assert.ElementsMatch(t, []string{"a", "c"}, namesOf(g.VMsInTouch()))
	assert.Len(t, g.PeersInTouch(), 1)
	assert.Len(t, g.LiveVMs(), 3)
	assert.Equal(t, Live, g.StateOf("b", 1), "the change is not one of the process")
	assert.False(t, g.HasSilentVM())

	receiveMember(t, g, detector.Member{VM: "b", Incarnation: 1 << refutationBits})
	assert.True(t, g.IsPartitioned("b"), "a message from before the partition came late")
	cut.State = detector.Lost
	receiveMember(t, g, cut)
	assert.False(t, g.IsPartitioned("b"), "the state of a lost VM doesn't count")
	receiveMember(t, g, detector.Member{VM: "b", Incarnation: 2 << refutationBits})
	assert.False(t, g.IsPartitioned("b"), "a process that starts again hasn't said so")
	assert.ElementsMatch(t, []string{"a", "b", "c"}, namesOf(g.VMsInTouch()))
	assert.False(t, g.IsPartitioned("unknown"))
}

// TestPeersInTouchAreNotSuspectOrLeaving checks that requests aren't handed over to VMs that may not answer.
func TestPeersInTouchAreNotSuspectOrLeaving(t *testing.T) {
	g, _ := newTestGossiper("a", &changeLog{})
	for i, state := range []detector.State{detector.Alive, detector.Leaving, detector.Suspect, detector.Lost} {
		receiveMember(t, g, detector.Member{VM: fmt.Sprint("v", i), State: state, Incarnation: 1 << refutationBits})
	}
	require.Len(t, g.PeersInTouch(), 1)
	assert.Equal(t, "v0", g.PeersInTouch()[0].Name)
	assert.ElementsMatch(t, []string{"a", "v0", "v2"}, namesOf(g.VMsInTouch()))
}

// TestOwnPartitionCounts announces a partition and its end: this VM is none that jobs go to meanwhile, and its incarnation stays
// that of its process.
func TestOwnPartitionCounts(t *testing.T) {
	g, _ := newTestGossiper("a", &changeLog{})
	g.AnnouncePartitioned(true)
	g.AnnouncePartitioned(true)
	assert.True(t, g.IsPartitioned("a"))
	assert.Empty(t, g.VMsInTouch())
	assert.Len(t, g.LiveVMs(), 1)
	self := g.detector.Self()
	assert.True(t, self.IsPartitioned)
	assert.EqualValues(t, 1<<refutationBits+1, self.Incarnation)
	g.AnnouncePartitioned(false)
	assert.Len(t, g.VMsInTouch(), 1)
	g.Leave()
	assert.Empty(t, g.VMsInTouch())
	assert.EqualValues(t, 1, processOf(g.detector.Self()))
}

// TestPartitionsDontUseUpTheIncarnations announces more partitions than the bits that count changes allow: the incarnation of the
// process stays, half of the bits are left for refutations, and no partition remains announced that ended.
func TestPartitionsDontUseUpTheIncarnations(t *testing.T) {
	g, hook := newTestGossiper("a", &changeLog{})
	for range 1 << refutationBits {
		g.AnnouncePartitioned(true)
		assert.True(t, g.IsPartitioned("a"))
		g.AnnouncePartitioned(false)
		require.False(t, g.detector.Self().IsPartitioned)
	}
	assert.EqualValues(t, 1<<refutationBits+maxPartitionIncarnations, g.detector.Self().Incarnation)
	assert.EqualValues(t, 1, processOf(g.detector.Self()))
	warnings := 0
	for _, e := range hook.AllEntries() {
		if e.Level == logrus.WarnLevel {
			warnings++
		}
	}
	assert.Equal(t, 1<<refutationBits-maxPartitionIncarnations/2, warnings)
}

// TestPeersKnowTheZone checks that peers know a VM's availability zone by its row, also if the row has none.
func TestPeersKnowTheZone(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	store := &changeLog{}
	address := netip.MustParseAddrPort("127.0.0.1:1")
	writer := New(Config{VM: "b", Incarnation: 1, Address: address, Region: "r", AvailabilityZone: "r-2"}, store,
		rand.New(rand.NewPCG(1, 1)), log)
	assert.Equal(t, "r-2", writer.detector.Self().AvailabilityZone)
	require.True(t, writer.register(t.Context()))
	g, _ := newTestGossiper("a", &changeLog{})
	rows := rowsOf(t, "old")
	rows = append(rows, store.changes[0].Puts[0])
	g.applyTable(watcher.Update{IsFull: true, Version: 20, Entries: rows})
	peers := g.PeersInTouch()
	require.Len(t, peers, 2)
	assert.Equal(t, "r-2", peers[0].AvailabilityZone)
	assert.Empty(t, peers[1].AvailabilityZone, "a row of an older build")
}

// TestDatagramsOfPartitionedVMsFit sends as many updates as a message carries, with long names: none exceeds the limit.
func TestDatagramsOfPartitionedVMsFit(t *testing.T) {
	long := strings.Repeat("n", 32)
	log, hook := logtest.NewNullLogger()
	g := New(Config{VM: long, Incarnation: time.Now().UnixMicro(), Address: peerAddress, Region: long, AvailabilityZone: long},
		&changeLog{}, rand.New(rand.NewPCG(1, 1)), log)
	for i := range 12 {
		receiveMember(t, g, detector.Member{
			VM: fmt.Sprintf("%s-%02d", long, i), Region: long, AvailabilityZone: long,
			Incarnation: uint64(time.Now().UnixMicro()) << refutationBits, IsPartitioned: true,
		})
		g.AnnounceLeaving(fmt.Sprintf("%s-%02d", long, i))
	}
	for _, e := range hook.AllEntries() {
		assert.NotEqual(t, logrus.ErrorLevel, e.Level, e.Message)
	}
}
