package detector

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
)

var epoch = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

const tick = 50 * time.Millisecond

// net delivers messages between detectors tick by tick, except across links that are cut.
type net struct {
	now       time.Time
	random    *rand.Rand
	detectors []*Detector
	addresses []netip.AddrPort
	isCut     func(from, to int) bool
	isDown    map[int]bool
	lossOneIn int
	queue     []datagram
	heads     map[int]int64
	// sent is the number of messages sent, those that were lost included.
	sent int
}

type datagram struct {
	from, to int
	message  Message
}

func newNet(n, regions int) *net {
	w := &net{
		now: epoch, random: rand.New(rand.NewPCG(7, 7)), isDown: map[int]bool{}, heads: map[int]int64{},
		isCut: func(int, int) bool { return false },
	}
	members := []Member{}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
		w.addresses = append(w.addresses, addr)
		members = append(members, Member{VM: fmt.Sprintf("vm-%02d", i), Address: addr, Region: fmt.Sprint(i % regions)})
	}
	for i, m := range members {
		d := New(DefaultConfig(m), rand.New(rand.NewPCG(uint64(i), 1)))
		w.detectors = append(w.detectors, d)
		d.Handle(w.now, Listed{Members: members})
	}
	return w
}

func (w *net) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		queue := w.queue
		w.queue = nil
		for _, p := range queue {
			if !w.isDown[p.to] {
				w.perform(p.to, w.detectors[p.to].Handle(w.now, Received{From: w.addresses[p.from], Message: p.message}))
			}
		}
		for i, d := range w.detectors {
			if wake, ok := d.NextWake().Get(); ok && !wake.After(w.now) && !w.isDown[i] {
				w.perform(i, d.Handle(w.now, Woken{}))
			}
		}
	}
}

func (w *net) perform(from int, outs []Output) {
	for _, out := range outs {
		switch out := out.(type) {
		case HeadLearned:
			w.heads[from] = max(w.heads[from], out.Head.Revision)
			w.detectors[from].Handle(w.now, HeadActivated{Head: out.Head})
		case Send:
			w.sent++
			for to, addr := range w.addresses {
				isLost := w.lossOneIn > 0 && w.random.IntN(w.lossOneIn) == 0
				if addr == out.To && !w.isCut(from, to) && !isLost {
					w.queue = append(w.queue, datagram{from, to, out.Message})
				}
			}
		}
	}
}

func (w *net) states(of int) map[State]int {
	n := map[State]int{}
	for i, d := range w.detectors {
		if i == of || w.isDown[i] {
			continue
		}
		for _, m := range d.Members() {
			if m.VM == w.detectors[of].self.VM {
				n[m.State]++
			}
		}
	}
	return n
}

func TestOnlyTheLostVMIsReportedLost(t *testing.T) {
	w := newNet(12, 2)
	w.lossOneIn = 50
	w.run(10 * time.Second)
	w.isDown[3] = true
	w.run(20 * time.Second)
	assert.Equal(t, map[State]int{Lost: 11}, w.states(3))
	for i := range w.detectors {
		if i != 3 {
			assert.Equal(t, map[State]int{Alive: 10}, w.states(i), "view of vm-%02d", i)
		}
	}
	// The VM resumes, as after a pause, and refutes that it is lost.
	w.isDown[3] = false
	w.run(40 * time.Second)
	assert.Equal(t, map[State]int{Alive: 11}, w.states(3))
}

func TestIndirectProbesBridgeACutLink(t *testing.T) {
	w := newNet(6, 1)
	w.isCut = func(from, to int) bool { return from+to == 1 }
	w.run(40 * time.Second)
	for i := range w.detectors {
		assert.Equal(t, map[State]int{Alive: 5}, w.states(i))
	}
}

func TestPartitionedRegionsRejoin(t *testing.T) {
	w := newNet(8, 2)
	w.isCut = func(from, to int) bool { return from%2 != to%2 }
	w.run(2 * time.Minute)
	own := 0
	for _, m := range w.detectors[0].Members() {
		if m.State == Alive && m.Region == "0" {
			own++
		}
	}
	assert.Equal(t, 4, own, "the members of its own region stay alive in its view")
	w.isCut = func(int, int) bool { return false }
	w.run(90 * time.Second)
	for i := range w.detectors {
		assert.Equal(t, map[State]int{Alive: 7}, w.states(i))
	}
}

func TestHeadAndUpdatesSpread(t *testing.T) {
	w := newNet(20, 2)
	w.detectors[5].Handle(w.now, HeadActivated{Head: configurator.Head{Revision: 9}})
	w.detectors[5].Handle(w.now, EndpointChanged{Update: EndpointUpdate{Endpoint: "e", IsLeaving: true, Number: 1}})
	w.run(16 * time.Second)
	for i, d := range w.detectors {
		assert.EqualValues(t, 9, d.head.Revision, "head at vm-%02d", i)
		assert.True(t, d.endpoints["e"].IsLeaving, "endpoint update at vm-%02d", i)
	}
}

func TestLeavingSpreadsAtOnce(t *testing.T) {
	w := newNet(6, 1)
	w.run(5 * time.Second)
	w.perform(2, w.detectors[2].Handle(w.now, LeaveOrdered{}))
	w.run(time.Second)
	assert.Equal(t, map[State]int{Leaving: 5}, w.states(2))
}

// TestNewerUpdateWins applies updates of one member in any order: the highest state at the highest incarnation remains.
func TestNewerUpdateWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		addr := netip.MustParseAddrPort("10.0.0.1:1")
		d := New(DefaultConfig(Member{VM: "self", Address: addr}), rand.New(rand.NewPCG(1, 1)))
		best := Member{}
		for range rapid.IntRange(1, 20).Draw(t, "n") {
			m := Member{
				VM: "other", Address: addr, State: State(rapid.IntRange(0, 3).Draw(t, "state")),
				Incarnation: uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")),
			}
			if best.VM == "" || isNewer(m, best) {
				best = m
			}
			d.Handle(epoch, Received{From: addr, Message: Probe{Gossip: Gossip{From: m}}})
		}
		require.Equal(t, best, d.Members()[1])
	})
}
