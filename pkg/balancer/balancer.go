package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// Balancer places requests and counts those under way; it is safe for concurrent use.
type Balancer struct {
	vm string

	mu      sync.Mutex
	placer  *placer.Placer
	nextID  uint64
	pending int
	// due is when the most urgent waiting item is due.
	due time.Time
	// crowded holds the endpoints at which batch has to yield and peers were not told yet.
	crowded []placer.Key

	// changed tells the reporter that counts changed, urgent that a peer's batch must yield.
	changed chan struct{}
	urgent  chan struct{}
	// freed tells the batch worker that a slot may be free or must be given up.
	freed chan struct{}
}

// New returns a balancer for the VM.
func New(vm string, t placer.Topology, random *rand.Rand) *Balancer {
	return &Balancer{
		vm: vm, placer: placer.New(t, random),
		changed: make(chan struct{}, 1), urgent: make(chan struct{}, 1), freed: make(chan struct{}, 1),
	}
}

// Changed signals that counts changed since they were last told.
func (b *Balancer) Changed() <-chan struct{} { return b.changed }

// Urgent signals that batch at some endpoint has to yield.
func (b *Balancer) Urgent() <-chan struct{} { return b.urgent }

// Freed signals that counts changed in a way that matters to batch.
func (b *Balancer) Freed() <-chan struct{} { return b.freed }

// Place decides on an online request and, when it is sent somewhere, counts it there.
func (b *Balancer) Place(a placer.Ask) (placer.Decision, *placer.Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	d := b.placer.Place(now, a)
	s, ok := d.(placer.Send)
	if !ok {
		return d, nil
	}
	b.nextID++
	t := b.placer.Start(now, s.Endpoint.ID, placer.Online, b.nextID)
	notify(b.changed)
	if s.NeedsYield {
		b.crowded = append(b.crowded, placer.KeyOf(s.Endpoint.ID))
		notify(b.urgent)
		notify(b.freed)
	}
	return d, t
}

// StartBatch takes a free slot for a batch item, if there is one for this VM.
func (b *Balancer) StartBatch(endpoints []registrar.Endpoint) (registrar.Endpoint, *placer.Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	e, ok := b.placer.Room(now, b.vm, b.due.Sub(now), endpoints)
	if !ok {
		return e, nil, false
	}
	b.nextID++
	t := b.placer.Start(now, e.ID, placer.Batch, b.nextID)
	notify(b.changed)
	return e, t, true
}

// Excess returns how many of this VM's batch items at the endpoint must yield.
func (b *Balancer) Excess(e registrar.Endpoint) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.placer.Excess(time.Now(), b.vm, e)
}

// FirstByte notes that an answer has begun.
func (b *Balancer) FirstByte(t *placer.Ticket, wasQueued bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placer.FirstByte(time.Now(), t, wasQueued)
}

// End takes a request out of the counts.
func (b *Balancer) End(t *placer.Ticket, how placer.Ending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placer.End(time.Now(), t, how)
	notify(b.changed)
	notify(b.freed)
}

// SetPending says how many batch items wait here, and when the most urgent one is due.
func (b *Balancer) SetPending(n int, due time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if (b.pending == 0) != (n == 0) {
		notify(b.changed)
	}
	b.pending, b.due = n, due
}

// Report returns what to tell peers.
func (b *Balancer) Report() placer.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return placer.Report{
		VM: b.vm, Pending: b.pending, Urgency: b.due.Sub(now), Loads: b.placer.Own(), Faults: b.placer.Faults(now),
		Hidden: b.placer.Hidden(now),
	}
}

// TakeYielders returns the peers whose batch has to yield since the last call.
func (b *Balancer) TakeYielders() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	vms := map[string]bool{}
	for _, k := range b.crowded {
		for _, vm := range b.placer.BatchHolders(k) {
			vms[vm] = true
		}
	}
	b.crowded = b.crowded[:0]
	return vms
}

// Hear takes in a peer's report.
func (b *Balancer) Hear(r placer.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placer.Hear(time.Now(), r)
	notify(b.freed)
}

// HearEngine takes in how many requests an engine has in all.
func (b *Balancer) HearEngine(k placer.Key, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placer.HearEngine(time.Now(), k, requests)
	notify(b.changed)
	notify(b.freed)
}

// Retain drops what is known of endpoints that are gone.
func (b *Balancer) Retain(r *registrar.Registry) {
	known := make(map[placer.Key]bool, len(r.Endpoints))
	for id := range r.Endpoints {
		known[placer.KeyOf(id)] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placer.Retain(known)
	notify(b.freed)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
