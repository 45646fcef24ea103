package placer

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// Distance is the network distance between this VM and an endpoint.
type Distance int

// The distances, from near to far.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Topology holds this VM's availability zone and the region of each zone.
type Topology struct {
	AvailabilityZone string
	Regions          map[string]string
}

// To returns the distance from this VM's availability zone to another.
func (t Topology) To(zone string) Distance {
	switch {
	case zone == t.AvailabilityZone:
		return SameZone
	case t.Regions[zone] != "" && t.Regions[zone] == t.Regions[t.AvailabilityZone]:
		return SameRegion
	default:
		return OtherRegion
	}
}

// roundTrips holds the network round trip by distance: within a data center, between data centers of a region, and between
// regions some thousand km apart.
var roundTrips = [...]time.Duration{
	SameZone: 400 * time.Microsecond, SameRegion: 3 * time.Millisecond, OtherRegion: 41 * time.Millisecond,
}

// preemptionTime is how long it takes to preempt a batch item: a report to the VM that runs it, and the engine's next step.
const preemptionTime = 15 * time.Millisecond

// Placer assigns requests to endpoints; it is not safe for concurrent use.
type Placer struct {
	topology   Topology
	spread     time.Duration
	random     *rand.Rand
	view       view
	conditions map[Key]*condition
	// longestLeft is the longest time until a deadline observed on each route, which is used where Omitted.Deadlines is set.
	longestLeft map[string]time.Duration
	// deadlines holds the distribution of the callers' deadlines on each route.
	deadlines map[string]*deadlines
	// promisedUntil is the latest time at which a refused caller was told to return.
	promisedUntil time.Time
	omitted       Omitted
}

// Omitted names decisions that a load test leaves out to measure what they bring; the zero value omits none.
type Omitted struct {
	// QueueTimes tells the wait for a slot from the times of the endpoint itself.
	QueueTimes bool
	// Deadlines tells first attempts from retries by the deadlines of many callers instead of the longest one.
	Deadlines bool
	// Holding makes retries wait at their VM for a free slot instead of in an engine's queue.
	Holding bool
	// Returns computes retry-after times from the queues and the callers that were refused before.
	Returns bool
	// Shares gives accounts within their share, and urgent requests, precedence.
	Shares bool
}

// Omit leaves out the decisions; a load test calls it before the first request.
func (p *Placer) Omit(o Omitted) { p.omitted = o }

// Values of spread, the range of costs within which a placer draws one of several endpoints.
const (
	// SpreadAlone makes VMs that know the same counts choose different endpoints; without it they would all choose one.
	SpreadAlone = 15 * time.Millisecond
	// SpreadExact only draws among endpoints of equal cost.
	SpreadExact = 100 * time.Microsecond
)

// New returns a placer for the VM at the topology's availability zone; random draws costs within spread, and retry-after times.
func New(t Topology, spread time.Duration, random *rand.Rand) *Placer {
	return &Placer{
		topology: t, spread: spread, random: random, view: newView(), conditions: map[Key]*condition{},
		longestLeft: map[string]time.Duration{}, deadlines: map[string]*deadlines{},
	}
}

// Request is a request that needs an endpoint.
type Request struct {
	Route registrar.Route
	// Candidates are the endpoints of the service that accept requests.
	Candidates []registrar.Endpoint
	// Tried holds the ids of endpoints that earlier attempts of this request were sent to.
	Tried map[string]bool
	// Software is the software version that the endpoint must have; none means any.
	Software option.Option[registrar.Software]
	// Connected holds the endpoints to which the VM that sends the request has an idle connection.
	Connected map[Key]bool
	// AvailabilityZone is the zone of the VM that sends the request; empty means this VM's own.
	AvailabilityZone string
	// Left is the time until the caller's deadline; Waited is how long ago the request reached this VM.
	Left, Waited time.Duration
	// Account is the account of the caller; empty means none. Priority ranks requests of one service; 0 is the highest.
	Account  string
	Priority int
	// WaitShare is the share of the objective that a first attempt may wait for its first event where all slots are taken; zero
	// means all of it.
	WaitShare float64
}

// acceptsSoftware reports whether the endpoint has the software version that the request needs.
func (r Request) acceptsSoftware(e registrar.Endpoint) bool {
	software, ok := r.Software.Get()
	return !ok || e.Software() == software
}

// Decision is Send or Refuse.
type Decision interface{ isDecision() }

// Send assigns the request to an endpoint, with the load and the estimate behind the decision.
type Send struct {
	Endpoint registrar.Endpoint
	Load     Load
	// Estimate is the expected time until the first byte of the answer.
	Estimate time.Duration
	// NeedsPreemption reports that a batch item must be preempted to free a slot for the request.
	NeedsPreemption bool
}

// IsQueued reports whether the request has to wait for a slot, so that its time to the first byte is not that of the endpoint.
func (s Send) IsQueued() bool { return s.NeedsPreemption || s.Load.Online >= s.Endpoint.Slots }

// Refuse says that no endpoint can serve the request in time.
type Refuse struct {
	Reason     string
	RetryAfter time.Duration
	Estimate   time.Duration
	// MayWait says that the request is a retry whose VM keeps it and asks again after HoldInterval.
	MayWait bool
}

func (Send) isDecision()   {}
func (Refuse) isDecision() {}

// topologyOf returns the topology as seen from the zone, or from this VM's own if the zone is empty.
func (p *Placer) topologyOf(zone string) Topology {
	t := p.topology
	if zone != "" {
		t.AvailabilityZone = zone
	}
	return t
}

func (p *Placer) conditionOf(k Key) *condition {
	c, ok := p.conditions[k]
	if !ok {
		c = newCondition()
		p.conditions[k] = c
	}
	return c
}

// Place chooses an endpoint for the request or refuses it.
func (p *Placer) Place(now time.Time, r Request) Decision {
	isFirst := p.isFirstAttempt(r)
	best, found := p.best(now, r)
	if !found {
		return Refuse{Reason: p.reasonWithout(now, r), RetryAfter: p.retryAfter(now, r, 0)}
	}
	// An endpoint with free slots gets the request even if it was slow recently: only new requests can show its recovery.
	isQueued := best.Load.Online >= best.Endpoint.Slots
	longest := p.longestWait(r, isFirst)
	if r.Route.Objective > 0 && isQueued && best.Estimate > longest {
		d := Refuse{Reason: "no endpoint answers in time", Estimate: best.Estimate, MayWait: p.mayWait(r, isFirst)}
		if !d.MayWait {
			d.RetryAfter = p.retryAfter(now, r, best.Estimate-longest)
		}
		return d
	}
	p.conditionOf(KeyOf(best.Endpoint.ID)).beginTrial(now)
	return best
}

// maxRetryWait is the longest accepted wait for the first event of a retry: callers leave after two seconds without one.
const maxRetryWait = 1500 * time.Millisecond

const (
	// holdTime is how long a retry waits at its VM for a slot that is free or nearly so, before it may join a queue: the troughs of
	// the traffic come every 5.2 s, and callers leave after two seconds.
	holdTime = time.Second
	// holdShare bounds holdTime as a share of the time that the retry had left when it came to its VM.
	holdShare = 0.33
	// heldWait is the wait in an engine's queue that a retry accepts while its VM holds it, beyond the engine's own first byte.
	heldWait = 20 * time.Millisecond
	// HoldInterval is the time between two questions for a retry that its VM holds.
	HoldInterval = 80 * time.Millisecond
)

// longestWait returns the longest estimate with which the request joins the queue of an engine.
func (p *Placer) longestWait(r Request, isFirst bool) time.Duration {
	switch {
	case isFirst:
		return time.Duration(cmp.Or(r.WaitShare, 1)*float64(r.Route.Objective)) - r.Waited
	case p.mayWait(r, isFirst):
		return min(r.Route.Objective/3, initialFirstByte+heldWait)
	}
	return min(r.Left/2, maxRetryWait)
}

// competes reports whether the request has an account. Only deployments with accounts ask for an order among callers: without
// accounts, retries are placed, recognized and told to return as by earlier builds.
func (r Request) competes() bool { return r.Account != "" }

// mayWait reports whether the VM of a request that gets no slot keeps it and asks again.
func (p *Placer) mayWait(r Request, isFirst bool) bool {
	if p.omitted.Holding || isFirst || !r.competes() {
		return false
	}
	longest := min(holdTime, time.Duration(holdShare*float64(r.Left+r.Waited)))
	return r.Waited+HoldInterval <= longest
}

// firstAttemptShare is the share of the route's longest observed deadline at or above which hasLongestDeadline is true.
const firstAttemptShare = 0.97

// hasLongestDeadline is isFirstAttempt by the longest deadline that was seen on the route.
func (p *Placer) hasLongestDeadline(r Request) bool {
	longest := p.longestLeft[r.Route.Name]
	if r.Left > longest {
		p.longestLeft[r.Route.Name] = r.Left
		return true
	}
	return float64(r.Left) >= firstAttemptShare*float64(longest)
}

// candidate is an endpoint with the estimate and the cost of choosing it.
type candidate struct {
	send Send
	cost time.Duration
	// isNearAndFree reports that the endpoint is in the VM's region, not suspect, and has a free slot.
	isNearAndFree bool
}

// best returns the endpoint with the lowest cost among the nearby endpoints with free slots, or among all endpoints if no nearby
// one has a free slot.
func (p *Placer) best(now time.Time, r Request) (Send, bool) {
	topology := p.topologyOf(r.AvailabilityZone)
	best, found := candidate{}, false
	for _, e := range r.Candidates {
		if r.Tried[e.ID] || !r.acceptsSoftware(e) || !p.allows(now, e) {
			continue
		}
		c := p.estimate(now, topology, r.Route, e)
		if !r.Connected[KeyOf(e.ID)] {
			c.cost += connectionCost
		}
		isBetter := c.isNearAndFree && !best.isNearAndFree
		if c.isNearAndFree == best.isNearAndFree {
			isBetter = c.cost < best.cost
		}
		if !found || isBetter {
			best, found = c, true
		}
	}
	return best.send, found
}

// allows reports whether the endpoint's rate limit allows another request.
func (p *Placer) allows(now time.Time, e registrar.Endpoint) bool {
	return p.conditionOf(KeyOf(e.ID)).allowance.allows(now)
}

// reasonWithout returns why there is no endpoint for the request.
func (p *Placer) reasonWithout(now time.Time, r Request) string {
	for _, e := range r.Candidates {
		if !r.Tried[e.ID] && r.acceptsSoftware(e) && !p.allows(now, e) {
			return "the endpoints' rate limits are reached"
		}
	}
	return "no endpoint is usable"
}

// suspectCost ranks suspect endpoints behind all others that can serve the request.
const suspectCost = 10 * time.Second

// estimate returns the expected time until the first byte at the endpoint, and the cost by which endpoints are compared.
func (p *Placer) estimate(now time.Time, t Topology, r registrar.Route, e registrar.Endpoint) candidate {
	k := KeyOf(e.ID)
	c := p.conditionOf(k)
	c.slots = e.Slots
	load := p.loadAt(now, k)
	s := Send{Endpoint: e, Load: load, Estimate: c.firstByte + roundTrips[t.To(e.AvailabilityZone)]}
	cost := s.Estimate
	switch {
	case load.sum() < e.Slots:
		cost += crowdingCost(load.sum(), e.Slots)
	case load.Online < e.Slots:
		s.NeedsPreemption = true
		s.Estimate += preemptionTime
		cost = s.Estimate + preemptionTime + crowdingCost(load.Online, e.Slots)
	default:
		ahead := load.Online - e.Slots + 1
		wait := c.serviceTime * time.Duration(ahead) / time.Duration(e.Slots)
		s.Estimate += wait
		cost = s.Estimate + preemptionTime
	}
	cost += time.Duration(min(c.recentFaults(now)+p.view.faults[k], maxFaults) * float64(faultCost))
	isSuspect := c.isSuspect(now, max(r.Objective, initialFirstByte)) || c.isOnTrial(now) || p.view.slow[k] > 0
	if isSuspect {
		cost += suspectCost
	}
	return candidate{
		send: s, cost: cost + time.Duration(p.random.Int64N(int64(p.spread))),
		isNearAndFree: !isSuspect && load.sum() < e.Slots && t.To(e.AvailabilityZone) != OtherRegion,
	}
}

const (
	// faultCost is the additional wait that is preferable to an endpoint with one recent failure: a failed request that may
	// not be repeated is lost.
	faultCost = 60 * time.Millisecond
	// connectionCost is the additional wait that is preferable to a new connection. The handshake takes less, but an endpoint that
	// accepts connections from hundreds of VMs has to limit them.
	connectionCost = 15 * time.Millisecond
	// maxFaults bounds the failures that count, so that endpoints with many failures remain comparable.
	maxFaults = 20
	// maxCrowdingCost is the wait expected at an endpoint whose last free slot another VM may have taken since its last report:
	// about the time until a slot there becomes free.
	maxCrowdingCost = 60 * time.Millisecond
)

// crowdingCost returns the wait to expect at an endpoint with free slots. It grows with the square of the share of taken
// slots, because the counts lag behind by several reports and the last free slots may be taken already.
func crowdingCost(taken, slots int) time.Duration {
	share := float64(taken) / float64(slots)
	return time.Duration(share * share * float64(maxCrowdingCost))
}
