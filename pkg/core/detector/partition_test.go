package detector

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// partitioned counts the other VMs by whether they take the VM for partitioned.
func (w *net) partitioned(of int) map[bool]int {
	n := map[bool]int{}
	for i, d := range w.detectors {
		for _, m := range d.Members() {
			if i != of && m.VM == w.detectors[of].self.VM {
				n[m.CountsAsPartitioned()]++
			}
		}
	}
	return n
}

// TestPartitionSpreadsAndEnds has a third of the VMs say that they are partitioned, with messages lost: all others learn it,
// nobody is suspected for it, and all learn its end.
func TestPartitionSpreadsAndEnds(t *testing.T) {
	w := newNet(12, 2)
	w.lossOneIn = 20
	w.run(5 * time.Second)
	for i := 0; i < 12; i += 3 {
		w.perform(i, w.detectors[i].Handle(w.now, PartitionChanged{IsPartitioned: true}))
	}
	w.run(12 * time.Second)
	for i := range w.detectors {
		assert.Equal(t, map[bool]int{i%3 == 0: 11}, w.partitioned(i), "vm-%02d", i)
		assert.Equal(t, map[State]int{Alive: 11}, w.states(i), "vm-%02d", i)
	}
	for i := 0; i < 12; i += 3 {
		w.perform(i, w.detectors[i].Handle(w.now, PartitionChanged{}))
	}
	w.run(12 * time.Second)
	for i := range w.detectors {
		assert.Equal(t, map[bool]int{false: 11}, w.partitioned(i), "vm-%02d", i)
	}
}

// TestPartitionSendsNoFurtherMessages plays the same minute with and without changes: the same messages are sent.
func TestPartitionSendsNoFurtherMessages(t *testing.T) {
	sent := map[bool][]int{}
	for _, isCut := range []bool{false, true} {
		w := newNet(8, 2)
		for second := range 60 {
			if isCut {
				w.perform(second%8, w.detectors[second%8].Handle(w.now, PartitionChanged{IsPartitioned: second%16 < 8}))
			}
			w.run(time.Second)
			sent[isCut] = append(sent[isCut], w.sent)
		}
	}
	assert.Equal(t, sent[false], sent[true])
	assert.Positive(t, sent[true][0])
}

// TestNewestPartitionStateWins delivers the states that a VM says, with what others say of it, lost, repeated and in any order,
// also by VMs that drop the flag: the flag of the newest incarnation of which one update with its flag came is the one known.
func TestNewestPartitionStateWins(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:1")
	rapid.Check(t, func(t *rapid.T) {
		other := New(DefaultConfig(Member{VM: "other", Address: addr, Incarnation: 4096}), rand.New(rand.NewPCG(1, 1)))
		said := []Member{other.Self()}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			if rapid.Bool().Draw(t, "isSuspected") {
				m := other.Self()
				m.State = Suspect
				other.Handle(epoch, Received{From: addr, Message: Probe{Gossip: Gossip{From: m}}})
			}
			other.Handle(epoch, PartitionChanged{IsPartitioned: rapid.Bool().Draw(t, "is")})
			said = append(said, other.Self())
		}
		d := New(DefaultConfig(Member{VM: "self", Address: addr}), rand.New(rand.NewPCG(1, 1)))
		newest, state, isFlagKnown := uint64(0), Alive, false
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			m := rapid.SampledFrom(said).Draw(t, "said")
			m.State = State(rapid.SampledFrom([]int{0, 0, 0, 2, 3}).Draw(t, "state"))
			dropsFlag := rapid.Bool().Draw(t, "dropsFlag")
			m.IsPartitioned = m.IsPartitioned && !dropsFlag
			if m.Incarnation > newest {
				newest, state, isFlagKnown = m.Incarnation, m.State, false
			}
			if m.Incarnation == newest {
				state, isFlagKnown = max(state, m.State), isFlagKnown || !dropsFlag
			}
			d.Handle(epoch, Received{From: addr, Message: Probe{Gossip: Gossip{From: m}}})
		}
		n := slices.IndexFunc(said, func(m Member) bool { return m.Incarnation == newest })
		want := said[n]
		want.State, want.IsPartitioned = state, want.IsPartitioned && isFlagKnown
		require.Equal(t, want, d.Members()[1])
		require.Equal(t, want.IsPartitioned && state != Lost, d.Members()[1].CountsAsPartitioned())
	})
}

// TestPartitionIncarnationsAreBounded checks that a VM which has used up its incarnations can still say that it is in touch.
func TestPartitionIncarnationsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig(Member{VM: "self", Address: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 100})
		cfg.MaxPartitionIncarnation = 100 + uint64(rapid.IntRange(1, 9).Draw(t, "most"))
		d := New(cfg, rand.New(rand.NewPCG(1, 1)))
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			is := rapid.Bool().Draw(t, "is")
			d.Handle(epoch, PartitionChanged{IsPartitioned: is})
			require.LessOrEqual(t, d.Self().Incarnation, cfg.MaxPartitionIncarnation)
			require.False(t, d.Self().IsPartitioned && !is)
		}
	})
}
