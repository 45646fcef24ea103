package gossiper

import (
	"slices"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
)

// Membership is what a VM knows of the VMs that may be running.
type Membership struct {
	// Capable holds the live VMs with at least half of the highest capacity, over all regions; this VM may be one. Former holds
	// those that were lost lately or are leaving.
	Capable, Former []string
	// Others holds all live VMs but this one.
	Others []string
	// IsMajority says that more than half of the VMs that may be running are live without suspicion. Until the list of VMs was
	// read from the store, it is false.
	IsMajority bool
	// Count is the number of VMs that may be running, this one included.
	Count int
}

// Membership returns what this VM knows of the VMs that may be running.
func (g *Gossiper) Membership() Membership {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	m := Membership{Capable: g.capable(""), Count: 1}
	alive, lowest, isLowestAlive := 1, g.cfg.VM, true
	for vm, s := range g.states {
		known := g.members[vm]
		isSilent := !known.silentSince.IsZero() && now.Sub(known.silentSince) < partitionWindow
		if isLive(s) {
			m.Others = append(m.Others, vm)
		} else if isSilent || s.State == detector.Leaving {
			m.Former = append(m.Former, vm)
		}
		isAlive := s.State == detector.Alive || s.State == detector.Leaving
		if !isAlive && !isSilent {
			continue
		}
		m.Count++
		if isAlive {
			alive++
		}
		if vm < lowest {
			lowest, isLowestAlive = vm, isAlive
		}
	}
	slices.Sort(m.Capable)
	// Of two halves, the one with the VM whose name comes first counts as the majority.
	m.IsMajority = !g.listedAt.IsZero() && (2*alive > m.Count || (2*alive == m.Count && isLowestAlive))
	return m
}

// Heard returns the number of datagrams received.
func (g *Gossiper) Heard() int64 { return g.Counters.Received.Load() }
