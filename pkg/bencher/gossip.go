package bencher

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/packer"
)

// gossipNet delivers datagrams between failure detectors in virtual time and counts their bytes.
type gossipNet struct {
	clock     *clock
	random    *rand.Rand
	detectors map[netip.AddrPort]*detector.Detector
	bytes     float64
	// crossRegionBytes counts the bytes sent from one region to another.
	crossRegionBytes float64
	regions          map[netip.AddrPort]string
	// isCounted is true once the warm-up is over: only then are bytes and lost members counted.
	isCounted bool
	// falselyLost counts reports of a lost member; every VM is alive, so each is false.
	falselyLost    int
	headReceivedAt map[netip.AddrPort]time.Time
}

// gossipAt returns a network of the VMs of a fleet of size s, all of which know each other.
func gossipAt(s fleetSize) *gossipNet {
	g := &gossipNet{
		clock: newClock(), random: rand.New(rand.NewPCG(3, 3)), detectors: map[netip.AddrPort]*detector.Detector{},
		regions: map[netip.AddrPort]string{}, headReceivedAt: map[netip.AddrPort]time.Time{},
	}
	all := []detector.Member{}
	for i := range s.vms {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		all = append(all, detector.Member{
			VM: fmt.Sprintf("vm-%03d", i), Address: addr, Region: "region-" + strconv.Itoa(i%s.regions), AvailabilityZone: "az-1",
		})
	}
	for i, m := range all {
		d := detector.New(detector.DefaultConfig(m), rand.New(rand.NewPCG(uint64(i), 4)))
		d.Handle(epoch, detector.Listed{Members: all})
		g.detectors[m.Address], g.regions[m.Address] = d, m.Region
		g.clock.after(time.Duration(g.random.Int64N(int64(time.Second))), func() { g.wake(m.Address) })
	}
	return g
}

func (g *gossipNet) wake(addr netip.AddrPort) {
	d := g.detectors[addr]
	g.carryOut(addr, d.Handle(g.clock.now, detector.Woken{}))
	if wake, ok := d.NextWake().Get(); ok {
		g.clock.at(wake, func() { g.wake(addr) })
	}
}

func (g *gossipNet) carryOut(from netip.AddrPort, outs []detector.Output) {
	for _, out := range outs {
		switch out := out.(type) {
		case detector.HeadLearned:
			g.activateHead(from, out.Head)
		case detector.Send:
			g.send(from, out)
		case detector.Changed:
			if out.Member.State == detector.Lost && g.isCounted {
				g.falselyLost++
			}
		}
	}
}

func (g *gossipNet) send(from netip.AddrPort, out detector.Send) {
	raw, err := packer.EncodeDatagram(out.Message)
	if err != nil {
		return
	}
	if g.isCounted {
		n := float64(len(raw) + tagBytes + udpHeaderBytes)
		g.bytes += n
		if g.regions[from] != g.regions[out.To] {
			g.crossRegionBytes += n
		}
	}
	if g.random.IntN(datagramLossOneIn) == 0 {
		return
	}
	g.clock.after(2*time.Millisecond, func() {
		if d, ok := g.detectors[out.To]; ok {
			g.carryOut(out.To, d.Handle(g.clock.now, detector.Received{From: from, Message: out.Message}))
		}
	})
}

// run returns the bytes that a VM sends a second on average, and the bytes a second of all VMs that cross regions.
func (g *gossipNet) run() (perVM, crossRegion float64) {
	g.clock.run(epoch.Add(gossipWarmUp))
	g.isCounted = true
	g.clock.run(epoch.Add(gossipWarmUp + gossipDuration))
	seconds := gossipDuration.Seconds()
	return g.bytes / float64(len(g.detectors)) / seconds, g.crossRegionBytes / seconds
}

// activateHead sets the active configuration head of one VM, which sends it in its heartbeats from then on.
func (g *gossipNet) activateHead(at netip.AddrPort, head configurator.Head) {
	g.detectors[at].Handle(g.clock.now, detector.HeadActivated{Head: head})
	g.headReceivedAt[at] = g.clock.now
}

// spread returns the time in which a head spreads from one VM to all others by heartbeats alone, or gossipDuration if it
// does not reach all of them.
func (g *gossipNet) spread() time.Duration {
	start := epoch.Add(gossipWarmUp)
	g.clock.run(start)
	first := slices.SortedFunc(maps.Keys(g.detectors), netip.AddrPort.Compare)[0]
	g.activateHead(first, configurator.Head{Revision: 1})
	g.clock.run(start.Add(gossipDuration))
	if len(g.headReceivedAt) < len(g.detectors) {
		return gossipDuration
	}
	last := time.Duration(0)
	for _, at := range g.headReceivedAt {
		last = max(last, at.Sub(start))
	}
	return last
}
