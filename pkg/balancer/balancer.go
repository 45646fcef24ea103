package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// Balancer places requests at endpoints and counts those in flight; it is safe for concurrent use.
type Balancer struct {
	vm string

	mu     sync.Mutex
	placer *placer.Placer
	nextID uint64
	// pending is the number of waiting batch items.
	pending int
	// due is when the most urgent waiting batch item is due.
	due time.Time
	// preemptAt holds the endpoints at which batch items have to be preempted, until TakePreemptedVMs returns their VMs.
	preemptAt []placer.Key

	// changed signals the gossiper that counts changed, urgent that batch items of a peer have to be preempted.
	changed chan struct{}
	urgent  chan struct{}
	// slotsChanged signals the item runner that a slot may be free or has to be released.
	slotsChanged chan struct{}
}

// New returns a balancer for the VM.
func New(vm string, t placer.Topology, random *rand.Rand) *Balancer {
	return &Balancer{
		vm: vm, placer: placer.New(t, random),
		changed: make(chan struct{}, 1), urgent: make(chan struct{}, 1), slotsChanged: make(chan struct{}, 1),
	}
}

// Changed signals that counts changed since the last report.
func (b *Balancer) Changed() <-chan struct{} { return b.changed }

// Urgent signals that batch items at some endpoint have to be preempted.
func (b *Balancer) Urgent() <-chan struct{} { return b.urgent }

// SlotsChanged signals that batch items may find a free slot or have to release theirs.
func (b *Balancer) SlotsChanged() <-chan struct{} { return b.slotsChanged }

// Place chooses an endpoint for an online request and counts the request there, or refuses it; the ticket is nil then.
func (b *Balancer) Place(r placer.Request) (placer.Decision, *placer.Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	d := b.placer.Place(now, r)
	s, ok := d.(placer.Send)
	if !ok {
		return d, nil
	}
	b.nextID++
	t := b.placer.Start(now, s.Endpoint.ID, placer.Online, b.nextID)
	notify(b.changed)
	if s.NeedsPreemption {
		b.preemptAt = append(b.preemptAt, placer.KeyOf(s.Endpoint.ID))
		notify(b.urgent)
		notify(b.slotsChanged)
	}
	return d, t
}

// StartBatch takes a slot for a batch item at one of the endpoints; it returns false if this VM may use none.
func (b *Balancer) StartBatch(endpoints []registrar.Endpoint) (registrar.Endpoint, *placer.Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	e, ok := b.placer.ChooseBatchEndpoint(now, b.vm, b.due.Sub(now), endpoints)
	if !ok {
		return e, nil, false
	}
	b.nextID++
	t := b.placer.Start(now, e.ID, placer.Batch, b.nextID)
	notify(b.changed)
	return e, t, true
}

// ExcessBatch returns how many of this VM's batch items at the endpoint have to be preempted.
func (b *Balancer) ExcessBatch(e registrar.Endpoint) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.placer.ExcessBatch(time.Now(), b.vm, e)
}

// FirstByte records that the answer to a request has begun; wasQueued says that the request first waited for a slot.
func (b *Balancer) FirstByte(t *placer.Ticket, wasQueued bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placer.FirstByte(time.Now(), t, wasQueued)
}

// End removes a request from the counts and records how it ended.
func (b *Balancer) End(t *placer.Ticket, how placer.Ending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placer.End(time.Now(), t, how)
	notify(b.changed)
	notify(b.slotsChanged)
}

// SetPending sets the number of batch items that wait at this VM, and when the most urgent one is due.
func (b *Balancer) SetPending(n int, due time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if (b.pending == 0) != (n == 0) {
		notify(b.changed)
	}
	b.pending, b.due = n, due
}

// Report returns this VM's current report for its peers.
func (b *Balancer) Report() placer.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return placer.Report{
		VM: b.vm, Pending: b.pending, Urgency: b.due.Sub(now), Loads: b.placer.Own(), Faults: b.placer.Faults(now),
		Hidden: b.placer.Hidden(now),
	}
}

// TakePreemptedVMs returns the peers whose batch items have to be preempted for the online requests placed since the last call.
func (b *Balancer) TakePreemptedVMs() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	vms := map[string]bool{}
	for _, k := range b.preemptAt {
		for _, vm := range b.placer.BatchHolders(k) {
			vms[vm] = true
		}
	}
	b.preemptAt = b.preemptAt[:0]
	return vms
}

// ReceiveReport applies a peer's report.
func (b *Balancer) ReceiveReport(r placer.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placer.ObserveReport(time.Now(), r)
	notify(b.slotsChanged)
}

// ObserveEngineLoad records the total number of requests at an engine, as the engine itself reports it.
func (b *Balancer) ObserveEngineLoad(k placer.Key, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placer.ObserveEngineLoad(time.Now(), k, requests)
	notify(b.changed)
	notify(b.slotsChanged)
}

// Retain discards the state of endpoints that are not in the registry.
func (b *Balancer) Retain(r *registrar.Registry) {
	known := make(map[placer.Key]bool, len(r.Endpoints))
	for id := range r.Endpoints {
		known[placer.KeyOf(id)] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placer.Retain(known)
	notify(b.slotsChanged)
}

// notify signals the channel unless a signal is pending already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
