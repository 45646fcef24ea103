package gossiper

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/distributor"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/hasher"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

// State is the membership state of one incarnation of a VM.
type State int

// The states of a VM: Live answers probes, Leaving reports that it stops, and Lost is silent or was replaced by a later
// incarnation.
const (
	Live State = iota
	Leaving
	Lost
)

// StateOf returns the state of a VM's incarnation. An unknown VM counts as live until SilenceTimeout has passed since the list of
// VMs was first read.
func (g *Gossiper) StateOf(vm string, incarnation int64) State {
	if vm == g.cfg.VM {
		switch {
		case incarnation != g.cfg.Incarnation:
			return Lost
		case g.isLeaving.Load():
			return Leaving
		default:
			return Live
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.states[vm]
	switch {
	case !ok && (g.listedAt.IsZero() || time.Since(g.listedAt) < SilenceTimeout):
		return Live
	case !ok || processOf(m) > incarnation || m.State == detector.Lost:
		return Lost
	case m.State == detector.Leaving:
		return Leaving
	default:
		return Live
	}
}

// VMIncarnation is one incarnation of a VM.
type VMIncarnation struct {
	Name        string
	Incarnation int64
}

// LiveVMs returns the VMs that accept work: those that are live, this one included, and not leaving.
func (g *Gossiper) LiveVMs() []VMIncarnation {
	return g.liveVMs(!g.isLeaving.Load(), isLive)
}

// liveVMs returns this VM, if isSelfLive is set, and the others that match.
func (g *Gossiper) liveVMs(isSelfLive bool, matches func(detector.Member) bool) []VMIncarnation {
	g.mu.Lock()
	defer g.mu.Unlock()
	vms := make([]VMIncarnation, 0, len(g.states)+1)
	if isSelfLive {
		vms = append(vms, VMIncarnation{Name: g.cfg.VM, Incarnation: g.cfg.Incarnation})
	}
	for vm, m := range g.states {
		if matches(m) {
			vms = append(vms, VMIncarnation{Name: vm, Incarnation: processOf(m)})
		}
	}
	return vms
}

// HasSilentVM reports whether a VM is silent but possibly only partitioned, so that it may still send requests to endpoints.
func (g *Gossiper) HasSilentVM() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, m := range g.members {
		if !m.silentSince.IsZero() && now.Sub(m.silentSince) < partitionWindow {
			return true
		}
	}
	return false
}

// Assign assigns key to one of the live VMs by rendezvous hashing, so that VMs with the same list choose the same one. It
// returns false if live is empty.
func Assign(key string, live []VMIncarnation) (VMIncarnation, bool) {
	best, found := VMIncarnation{}, false
	highest := uint64(0)
	for _, vm := range live {
		if h := xxhash.Sum64String(key + "\x00" + vm.Name); !found || h > highest {
			best, highest, found = vm, h, true
		}
	}
	return best, found
}

// RankOf returns the place of a process in the order of the live VMs in which Assign chooses for the key, from 0, and their
// number; 0 VMs if it is none of them.
func RankOf(key string, live []VMIncarnation, incarnation int64) (rank, vms int) {
	n := slices.IndexFunc(live, func(vm VMIncarnation) bool { return vm.Incarnation == incarnation })
	if n < 0 {
		return 0, 0
	}
	own := xxhash.Sum64String(key + "\x00" + live[n].Name)
	for _, vm := range live {
		if xxhash.Sum64String(key+"\x00"+vm.Name) > own {
			rank++
		}
	}
	return rank, len(live)
}

// RankLive returns the first n live VMs in the order of preference for the key; this VM may be one.
func (g *Gossiper) RankLive(key string, n int) []string {
	live := g.LiveVMs()
	names := make([]string, 0, len(live))
	for _, vm := range live {
		names = append(names, vm.Name)
	}
	ranked := hasher.Rank(key, names)
	return ranked[:min(n, len(ranked))]
}

// VMCount returns the number of known VMs that are not lost, this one included.
func (g *Gossiper) VMCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 1
	for _, m := range g.states {
		if m.State != detector.Lost {
			n++
		}
	}
	return n
}

// HasStoreElsewhere reports whether another VM said lately that it reaches the store.
func (g *Gossiper) HasStoreElsewhere() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.storeSeenAt) < storeReportTimeout
}

// AnyPeer returns the address of a random peer that is live or leaving, preferably in the same region; false if there is none.
func (g *Gossiper) AnyPeer() (netip.AddrPort, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var near, far []netip.AddrPort
	for _, m := range g.states {
		switch {
		case m.State == detector.Suspect || m.State == detector.Lost:
		case m.Region == g.cfg.Region:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return netip.AddrPort{}, false
	}
	return near[rand.IntN(len(near))], true
}

// AddressOf returns the address of the VM; false if it is unknown.
func (g *Gossiper) AddressOf(vm string) (netip.AddrPort, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.states[vm]
	return m.Address, ok
}

// IsNear reports whether the VM is known to be in the region of this one.
func (g *Gossiper) IsNear(vm string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.states[vm]
	return ok && m.Region == g.cfg.Region
}

// Place returns this VM's place in the distribution of large tables among the live VMs of its region; false if the list of VMs
// was not read yet.
func (g *Gossiper) Place() (distributor.Place, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	vms := 1
	for _, m := range g.states {
		if isLive(m) && m.Region == g.cfg.Region {
			vms++
		}
	}
	return distributor.PlaceOf(g.cfg.VM, vms, g.capable(g.cfg.Region)), !g.listedAt.IsZero()
}

// applyTable applies an update of the table of VMs, and signals if this VM's row is missing.
func (g *Gossiper) applyTable(u watcher.Update) {
	now := time.Now()
	isListed := !u.IsFull
	listed := detector.Listed{}
	g.mu.Lock()
	if u.IsFull && g.listedAt.IsZero() {
		g.listedAt = now
	}
	for _, e := range u.Entries {
		if e.Key == g.cfg.VM {
			isListed = !e.IsRemoved
			continue
		}
		if e.IsRemoved {
			continue
		}
		r := vmRow{}
		if err := json.Unmarshal(e.Value, &r); err != nil || !r.Address.IsValid() || r.Incarnation <= 0 {
			g.log.WithError(err).WithField("vm", e.Key).Warn("row of VM can't be decoded; update ignored")
			continue
		}
		m, ok := g.members[e.Key]
		if !ok {
			m = &member{}
			g.members[e.Key] = m
		}
		if r.Incarnation >= m.row.Incarnation {
			m.row, m.listedAt, m.version = r, now, e.Version
		}
		listed.Members = append(listed.Members, detector.Member{
			VM: e.Key, Address: r.Address, Region: r.Region, AvailabilityZone: r.AvailabilityZone,
			Incarnation: uint64(r.Incarnation) << refutationBits,
		})
	}
	clear(g.ranks)
	g.mu.Unlock()
	g.handle(now, listed)
	if !isListed && g.isRegistered.Load() {
		g.requestRegistration()
	}
}
