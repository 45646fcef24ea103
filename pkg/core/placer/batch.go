package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

const (
	// refillDelay is how long no batch item starts at an endpoint after online requests have filled it: a start takes the
	// engine some 50 ms, which are wasted if the next online request preempts the item.
	refillDelay = 150 * time.Millisecond
	// freeDelay is how long a slot must have been free, so that the next online request seldom has to preempt the item.
	freeDelay = 20 * time.Millisecond
	// distanceWeight is the difference in load, as a share of an endpoint's slots, that outweighs one step of distance.
	distanceWeight = 0.05
	// limitBonus makes batch items start at endpoints with a rate limit rather than at any other.
	limitBonus = 2.0
)

// ChooseBatchEndpoint returns the endpoint at which a VM of the availability zone may start a batch item now; false if none has
// room.
func (p *Placer) ChooseBatchEndpoint(
	now time.Time, zone string, endpoints []registrar.Endpoint,
) (registrar.Endpoint, bool) {
	topology := p.topologyOf(zone)
	best, found := registrar.Endpoint{}, false
	bestCost := 0.0
	for _, e := range endpoints {
		k := KeyOf(e.ID)
		c := p.conditionOf(k)
		c.slots = e.Slots
		if c.fullAt.IsZero() {
			// It is unknown since when slots have been free there, so freeDelay starts now.
			c.fullAt = now
		}
		load := p.loadAt(now, k)
		if e.IsDraining || load.sum() >= e.Slots || c.isSuspect(now, initialServiceTime) || c.isOnTrial(now) {
			continue
		}
		if !c.allowance.allowsBatch(now) || load.Batch >= c.allowance.slotsForBatch(e.Slots) {
			continue
		}
		if now.Sub(c.overfullAt) < refillDelay || now.Sub(c.fullAt) < freeDelay {
			continue
		}
		cost := float64(load.sum())/float64(e.Slots) + float64(topology.To(e.AvailabilityZone))*distanceWeight
		if c.allowance.limit.IsNamed {
			// An item makes more of a request that the limit allows than online requests, which are short.
			cost -= limitBonus
		}
		if !found || cost < bestCost {
			best, bestCost, found = e, cost, true
		}
	}
	if found {
		p.conditionOf(KeyOf(best.ID)).beginTrial(now)
	}
	return best, found
}

// ExcessBatch returns how many batch items each VM must preempt at the endpoint for its online requests; this VM's name is empty.
//
// The VMs with batch items there, those with the most first, stop one item each in turn until enough are stopped.
func (p *Placer) ExcessBatch(now time.Time, e registrar.Endpoint) map[string]int {
	k := KeyOf(e.ID)
	load := p.loadAt(now, k)
	over := min(load.sum()-e.Slots, load.Batch)
	if over <= 0 {
		return nil
	}
	type share struct {
		vm    string
		batch int
	}
	var shares []share
	if own := p.view.own[k]; own != nil && own.Batch > 0 {
		shares = append(shares, share{"", own.Batch})
	}
	for name, peer := range p.view.peers {
		if b := peer.report.Loads[k].Batch; b > 0 {
			shares = append(shares, share{name, b})
		}
	}
	slices.SortFunc(shares, func(a, b share) int {
		if c := cmp.Compare(b.batch, a.batch); c != 0 {
			return c
		}
		return cmp.Compare(a.vm, b.vm)
	})
	excess := map[string]int{}
	for over > 0 {
		for i := range shares {
			if over == 0 || shares[i].batch == 0 {
				continue
			}
			shares[i].batch--
			over--
			excess[shares[i].vm]++
		}
	}
	return excess
}
