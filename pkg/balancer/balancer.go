package balancer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/assigner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// Network reaches the other VMs.
type Network interface {
	// Rank returns the live VMs that may assign a group of endpoints in the region, in order of preference; this VM may be one.
	Rank(group, region string) []string
	// Send sends a payload to a VM once; a lost one is not resent.
	Send(vm string, payload []byte)
}

// Config identifies this VM.
type Config struct {
	VM          string
	Incarnation int64
	Topology    placer.Topology
	// Omitted names decisions that a load test leaves out.
	Omitted placer.Omitted
}

// Balancer places requests at endpoints and counts those in flight; it is safe for concurrent use.
type Balancer struct {
	cfg     Config
	network Network
	log     logrus.FieldLogger
	random  *rand.Rand
	// nearTimeout and farTimeout bound the wait for a reply, within the region and from another one.
	nearTimeout, farTimeout time.Duration

	mu sync.Mutex
	// placer holds the counts of this VM, and decides alone when no assigner replies.
	placer *placer.Placer
	// groups holds the groups of each service, byGroup and byEndpoint the same groups by their keys.
	groups     map[string][]*group
	byGroup    map[assigner.GroupKey]*group
	byEndpoint map[placer.Key]*group
	// registry is the one whose endpoints are in use.
	registry *registrar.Registry
	// ranked holds the services whose online routes differ in priority.
	ranked   map[string]bool
	nextID   uint64
	sequence uint64
	// asks holds the questions to other VMs that wait for a reply, by number.
	asks map[uint64]*ask
	// waiting holds the due times of the batch items that wait at this VM, the soonest first, by service.
	waiting map[string][]time.Time
	// bound holds, for the items of waiting whose output has begun, the only software version that may run them, zero for any.
	bound map[string][]registrar.Software
	// offers holds the slots offered to batch items of this VM, by service.
	offers map[string][]offer
	// preempt is the number of batch items to stop at each endpoint.
	preempt map[placer.Key]int
	// witness is nil if all failures are the endpoints'; doubts holds those that are not settled.
	witness Witness
	doubts  []doubt

	// hosting signals that VMs use an assigner of this VM, changed that counts changed, slotsChanged that a slot was offered to a
	// batch item or has to be freed.
	hosting      chan struct{}
	changed      chan struct{}
	slotsChanged chan struct{}

	// Counters can be read from any goroutine.
	Counters Counters
}

// offer is a slot that an assigner offered to a batch item; it counts as taken from its receipt on.
type offer struct {
	endpoint registrar.Endpoint
	ticket   *placer.Ticket
	at       time.Time
}

// New returns a balancer for the VM. It reports to other VMs once started, and decides alone until then.
func New(cfg Config, n Network, random *rand.Rand, log logrus.FieldLogger) *Balancer {
	alone := placer.New(cfg.Topology, placer.SpreadAlone, random)
	alone.Omit(cfg.Omitted)
	return &Balancer{
		cfg: cfg, network: n, log: log, random: random, placer: alone,
		nearTimeout: nearReplyTimeout, farTimeout: farReplyTimeout,
		groups: map[string][]*group{}, byGroup: map[assigner.GroupKey]*group{}, byEndpoint: map[placer.Key]*group{},
		asks: map[uint64]*ask{}, waiting: map[string][]time.Time{}, offers: map[string][]offer{}, preempt: map[placer.Key]int{},
		hosting: make(chan struct{}, 1), changed: make(chan struct{}, 1), slotsChanged: make(chan struct{}, 1),
	}
}

// SlotsChanged signals that batch items may find an offered slot or have to release theirs.
func (b *Balancer) SlotsChanged() <-chan struct{} { return b.slotsChanged }

// start counts a request at the endpoint; the lock is held.
func (b *Balancer) start(now time.Time, e registrar.Endpoint, class placer.Class) *placer.Ticket {
	b.nextID++
	t := b.placer.Start(now, e.ID, class, b.nextID)
	b.markDirty(t.Key())
	return t
}

// markDirty makes the reporter report on the group of the endpoint; the lock is held.
func (b *Balancer) markDirty(k placer.Key) {
	if g, ok := b.byEndpoint[k]; ok {
		g.isDirty = true
		notify(b.changed)
	}
}

// observe keeps an observation for the next report, a failure once it is known to be the endpoint's; hasAnswered says that the
// endpoint itself told. The lock is held.
func (b *Balancer) observe(o option.Option[placer.Observation], hasAnswered bool) {
	seen, ok := o.Get()
	if !ok {
		return
	}
	if seen.HasFailed && !hasAnswered {
		b.observeFailure(time.Now(), seen)
		return
	}
	b.keep(seen)
}

// keep keeps an observation for the next report; the lock is held.
func (b *Balancer) keep(seen placer.Observation) {
	if g, ok := b.byEndpoint[seen.Key]; ok && len(g.observations) < maxObservations {
		g.observations = append(g.observations, seen)
	}
}

// TakeOffer returns a slot that was offered to a batch item of the service, and counts the item there; false if there is none.
func (b *Balancer) TakeOffer(service string) (registrar.Endpoint, *placer.Ticket, bool) {
	return b.TakeOfferAt(service, func(registrar.Endpoint) bool { return true })
}

// TakeOfferAt is TakeOffer for a slot at an endpoint that accept accepts. Other offers stay, until they expire.
func (b *Balancer) TakeOfferAt(
	service string, accept func(registrar.Endpoint) bool,
) (registrar.Endpoint, *placer.Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireOffers(time.Now())
	list := b.offers[service]
	i := slices.IndexFunc(list, func(o offer) bool { return accept(o.endpoint) })
	if i < 0 {
		return registrar.Endpoint{}, nil, false
	}
	taken := list[i]
	b.offers[service] = slices.Delete(list, i, i+1)
	return taken.endpoint, taken.ticket, true
}

// OfferCount returns the number of slots that are offered to batch items of the service.
func (b *Balancer) OfferCount(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.offers[service])
}

// expireOffers releases the slots that no item took in time; the lock is held.
func (b *Balancer) expireOffers(now time.Time) {
	for service, list := range b.offers {
		for len(list) > 0 && now.Sub(list[0].at) >= assigner.OfferTime {
			b.end(now, list[0].ticket, placer.EndedLocally)
			list = list[1:]
		}
		b.offers[service] = list
	}
}

// ExcessBatch returns how many of this VM's batch items at the endpoint have to be preempted.
func (b *Balancer) ExcessBatch(e registrar.Endpoint) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.preempt[placer.KeyOf(e.ID)]
}

// FirstByte records that the answer to a request has begun; wasQueued says that the request first waited for a slot.
func (b *Balancer) FirstByte(t *placer.Ticket, wasQueued bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observe(b.placer.FirstByte(time.Now(), t, wasQueued), true)
}

// End removes a request from the counts and records how it ended.
func (b *Balancer) End(t *placer.Ticket, how placer.Ending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(time.Now(), t, how)
}

// Fail records that the endpoint failed a request that has ended: another endpoint has answered what this one rejected.
func (b *Balancer) Fail(e registrar.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := placer.KeyOf(e.ID)
	b.observe(option.Some(b.placer.Fail(time.Now(), k)), true)
	b.markDirty(k)
}

// end is End with the lock held.
func (b *Balancer) end(now time.Time, t *placer.Ticket, how placer.Ending) {
	if t.HasEnded() {
		return
	}
	b.observe(b.placer.End(now, t, how), how == placer.EndedFull)
	k := t.Key()
	if t.IsBatch() && b.preempt[k] > 0 {
		// The end of any batch item frees the slot that was asked for.
		if b.preempt[k]--; b.preempt[k] == 0 {
			delete(b.preempt, k)
		}
	}
	b.markDirty(k)
}

// SetBound sets, by service, the only software versions that may run the items next passed to SetWaiting, in their order; zero,
// as for missing entries, means any.
func (b *Balancer) SetBound(bound map[string][]registrar.Software) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, groups := range b.groups {
		if slices.Equal(b.bound[service], bound[service]) {
			continue
		}
		for _, g := range groups {
			g.isDirty = true
		}
		notify(b.changed)
	}
	b.bound = bound
}

// SetWaiting sets the due times of the batch items that wait at this VM, the soonest first, by service.
func (b *Balancer) SetWaiting(waiting map[string][]time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, groups := range b.groups {
		if len(b.waiting[service]) == len(waiting[service]) {
			continue
		}
		for _, g := range groups {
			g.isDirty = true
		}
		notify(b.changed)
	}
	b.waiting = waiting
}

// ObserveEngineLoad passes the total number of requests at an engine, as the engine itself reports it, to the engine's assigner.
func (b *Balancer) ObserveEngineLoad(k placer.Key, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g, ok := b.byEndpoint[k]; ok {
		g.engines[k] = requests
		b.markDirty(k)
	}
}

// Configure makes the registry's endpoints those in use.
func (b *Balancer) Configure(r *registrar.Registry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer notify(b.slotsChanged)
	b.ranked = rankedServices(r.Config)
	if r.HasEndpointsOf(b.registry) {
		return
	}
	b.registry = r
	known := make(map[placer.Key]bool, len(r.Endpoints))
	for id := range r.Endpoints {
		known[placer.KeyOf(id)] = true
	}
	b.placer.Retain(known)
	old := b.byGroup
	b.groups, b.byGroup, b.byEndpoint = map[string][]*group{}, map[assigner.GroupKey]*group{}, map[placer.Key]*group{}
	for _, service := range r.Services() {
		for _, def := range assigner.GroupsOf(service, r.EndpointsOf(service), b.cfg.Topology.Regions) {
			g, ok := old[def.Key()]
			if !ok {
				// Batch items may wait for it already, and their number need not change again.
				g = newGroup()
				g.isDirty = true
				notify(b.changed)
			}
			if !ok || !slices.Equal(g.Endpoints, def.Endpoints) {
				g.define(def)
				if g.host != nil {
					g.host.Handle(time.Now(), assigner.Configured{Endpoints: g.Endpoints})
				}
			}
			b.groups[service] = append(b.groups[service], g)
			b.byGroup[g.key] = g
			for k := range g.endpoints {
				b.byEndpoint[k] = g
			}
		}
	}
}

// rankedServices returns the services whose online routes differ in priority.
func rankedServices(c *registrar.Config) map[string]bool {
	ranked, first := map[string]bool{}, map[string]int{}
	if c == nil {
		return ranked
	}
	for _, r := range c.Routes {
		if r.Kind == registrar.KindBatch {
			continue
		}
		for _, s := range r.Splits {
			if p, ok := first[s.Service]; ok && p != r.Priority {
				ranked[s.Service] = true
			}
			first[s.Service] = r.Priority
		}
	}
	return ranked
}

// notify signals the channel unless a signal is pending already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Start reports to assigners and runs those that this VM hosts, until ctx ends.
func (b *Balancer) Start(ctx context.Context) {
	go b.runReport(ctx)
	go b.runHost(ctx)
}
