package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

const (
	// refillDelay is how long no batch item starts at an endpoint after online requests have filled it: a start takes the
	// engine some 50 ms, which are wasted if the next online request preempts the item.
	refillDelay = 150 * time.Millisecond
	// freeDelay is how long a slot must have been free: the time of a report between regions, within which another VM's
	// online request may have taken the slot.
	freeDelay = 60 * time.Millisecond
	// reportDelay is the longest time until peers learn of a batch start; reportDelayPerPeer is added for each peer.
	reportDelay        = 60 * time.Millisecond
	reportDelayPerPeer = 1500 * time.Microsecond
	// distanceWeight is the difference in load, as a share of an endpoint's slots, that outweighs one step of distance.
	distanceWeight = 0.05
	// urgencyStep is the difference in due times below which VMs count as equally urgent: the time that one item runs.
	urgencyStep = 6 * time.Second
)

// ChooseBatchEndpoint returns the endpoint at which the VM may start a batch item now.
//
// VMs with waiting items take free slots in turn, the VM with the most urgent item first, so that two of them seldom take
// the same slot although they learn of each other's starts late. If they do, ExcessBatch makes one of them stop its item.
func (p *Placer) ChooseBatchEndpoint(
	now time.Time, vm string, urgency time.Duration, endpoints []registrar.Endpoint,
) (registrar.Endpoint, bool) {
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
		free := e.Slots - load.sum()
		if e.IsDraining || free <= 0 || c.isSuspect(now, initialServiceTime) {
			continue
		}
		if now.Sub(c.overfullAt) < refillDelay || now.Sub(c.fullAt) < freeDelay {
			continue
		}
		if free <= p.turnsBefore(now, vm, urgency, e.ID, c) {
			continue
		}
		cost := float64(load.sum())/float64(e.Slots) + float64(p.topology.To(e.AvailabilityZone))*distanceWeight
		if !found || cost < bestCost {
			best, bestCost, found = e, cost, true
		}
	}
	return best, found
}

// turnsBefore returns how many of the endpoint's free slots are left to other VMs before this VM may take one.
func (p *Placer) turnsBefore(now time.Time, vm string, urgency time.Duration, endpoint string, c *condition) int {
	p.view.expire(now)
	if p.view.pendingPeers == 0 {
		return 0
	}
	settle := reportDelay + time.Duration(len(p.view.peers))*reportDelayPerPeer
	turns := p.rank(now, vm, urgency, endpoint) + c.recentStarts(now, settle)*p.view.pendingPeers
	// Each time settle passes while the slot stays free, one VM has not used its turn.
	return turns - int(now.Sub(c.fullAt)/settle)
}

// rank returns how many other VMs with waiting items precede this VM at the endpoint.
func (p *Placer) rank(now time.Time, vm string, urgency time.Duration, endpoint string) int {
	own := rankHash(vm, endpoint)
	n := 0
	for name, peer := range p.view.peers {
		if peer.report.Pending == 0 {
			continue
		}
		peerUrgency := peer.report.Urgency - now.Sub(peer.at)
		isMoreUrgent := peerUrgency < urgency-urgencyStep
		isEquallyUrgent := !isMoreUrgent && peerUrgency < urgency+urgencyStep
		if isMoreUrgent || (isEquallyUrgent && rankHash(name, endpoint) < own) {
			n++
		}
	}
	return n
}

// rankHash orders equally urgent VMs, differently at each endpoint.
func rankHash(vm, endpoint string) uint64 { return xxhash.Sum64String(vm + "\x00" + endpoint) }

// ExcessBatch returns how many of the VM's batch items at the endpoint must be preempted by online requests.
//
// All VMs compute it by the same rule: the VMs with batch items there, those with the most first, stop one item each in
// turn until enough are stopped.
func (p *Placer) ExcessBatch(now time.Time, vm string, e registrar.Endpoint) int {
	k := KeyOf(e.ID)
	load := p.loadAt(now, k)
	over := min(load.sum()-e.Slots, load.Batch)
	own := p.view.own[k]
	if over <= 0 || own == nil || own.Batch == 0 {
		return 0
	}
	type share struct {
		vm    string
		batch int
	}
	shares := []share{{vm, own.Batch}}
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
	ownExcess := 0
	for over > 0 {
		for i := range shares {
			if over == 0 || shares[i].batch == 0 {
				continue
			}
			shares[i].batch--
			over--
			if shares[i].vm == vm {
				ownExcess++
			}
		}
	}
	return ownExcess
}
