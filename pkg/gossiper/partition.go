package gossiper

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
)

// Peer is another VM that answers its peers and isn't partitioned from the endpoints.
type Peer struct {
	Name string
	// Address is the one of its datagrams.
	Address          netip.AddrPort
	Region           string
	AvailabilityZone string
	// IsNear says that it is in the region of this VM.
	IsNear bool
}

// AnnouncePartitioned tells the peers, with the datagrams that are sent anyway, whether this VM reaches no endpoint.
func (g *Gossiper) AnnouncePartitioned(is bool) {
	g.announcing.Lock()
	defer g.announcing.Unlock()
	if g.isPartitioned.Swap(is) == is {
		return
	}
	g.handle(time.Now(), detector.PartitionChanged{IsPartitioned: is})
	g.mu.Lock()
	self := g.detector.Self()
	g.mu.Unlock()
	log := g.log.WithField("partitioned", is).WithField("changes", self.Incarnation&(1<<refutationBits-1))
	if is && !self.IsPartitioned {
		log.Warn("partition not announced to other VMs: this process has announced too many")
		return
	}
	log.Info("partition announced to other VMs")
}

// IsPartitioned reports whether the VM says that it reaches no endpoint; false if it is lost or unknown.
func (g *Gossiper) IsPartitioned(vm string) bool {
	if vm == g.cfg.VM {
		return g.isPartitioned.Load()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.states[vm].CountsAsPartitioned()
}

// VMsInTouch returns the VMs of LiveVMs, this one included, that don't say that they are partitioned.
func (g *Gossiper) VMsInTouch() []VMIncarnation {
	return g.liveVMs(!g.isLeaving.Load() && !g.isPartitioned.Load(), func(m detector.Member) bool {
		return isLive(m) && !m.IsPartitioned
	})
}

// PeersInTouch returns the other VMs that are live without suspicion, don't leave and don't say that they are partitioned, by
// name.
func (g *Gossiper) PeersInTouch() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var peers []Peer
	for vm, m := range g.states {
		if m.State == detector.Alive && !m.IsPartitioned {
			peers = append(peers, Peer{
				Name: vm, Address: m.Address, Region: m.Region, AvailabilityZone: m.AvailabilityZone,
				IsNear: m.Region == g.cfg.Region,
			})
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return peers
}
