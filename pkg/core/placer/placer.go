package placer

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// Distance is how far an endpoint is from this VM.
type Distance int

// The distances, from near to far.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Topology says how far apart places are.
type Topology struct {
	AvailabilityZone string
	Regions          map[string]string
}

// To returns the distance to an availability zone.
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

// Round trips by distance: within a data center, between those of a region, and between regions some thousand km apart.
var roundTrips = [...]time.Duration{
	SameZone: 400 * time.Microsecond, SameRegion: 3 * time.Millisecond, OtherRegion: 41 * time.Millisecond,
}

// yieldTime is how long batch takes to give a slot up: a report to the VM that runs it, and its engine's next step.
const yieldTime = 15 * time.Millisecond

// Placer places requests at endpoints; it is not safe for concurrent use.
type Placer struct {
	topology   Topology
	random     *rand.Rand
	view       view
	conditions map[Key]*condition
	// longest is the longest deadline seen of a route, which tells first attempts from repeated ones.
	longest map[string]time.Duration
}

// New returns a placer for a VM.
func New(t Topology, random *rand.Rand) *Placer {
	return &Placer{
		topology: t, random: random, view: newView(), conditions: map[Key]*condition{}, longest: map[string]time.Duration{},
	}
}

// Ask is a request that needs an endpoint.
type Ask struct {
	Route registrar.Route
	// Candidates are the service's endpoints that requests may be sent to.
	Candidates []registrar.Endpoint
	// Tried holds the ids of endpoints that this request was sent to before.
	Tried map[string]bool
	// Left is the time until the caller's deadline; Waited is how long the request has been here.
	Left, Waited time.Duration
}

// Decision is Send or Refuse.
type Decision interface{ isDecision() }

// Send says where the request goes, and what that was decided on.
type Send struct {
	Endpoint registrar.Endpoint
	Load     Load
	// Estimate is the expected time to the first byte.
	Estimate time.Duration
	// NeedsYield says that batch must give up a slot for the request.
	NeedsYield bool
}

// Refuse says that no endpoint can serve the request in time.
type Refuse struct {
	Reason     string
	RetryAfter time.Duration
	Estimate   time.Duration
}

func (Send) isDecision()   {}
func (Refuse) isDecision() {}

func (p *Placer) conditionOf(k Key) *condition {
	c, ok := p.conditions[k]
	if !ok {
		c = newCondition()
		p.conditions[k] = c
	}
	return c
}

// Place decides on a request.
func (p *Placer) Place(now time.Time, a Ask) Decision {
	isFirst := p.isFirstAttempt(a)
	best, found := p.best(now, a)
	if !found {
		return Refuse{Reason: "no endpoint is usable", RetryAfter: p.returnTime(a)}
	}
	limit := a.Route.Objective - a.Waited
	if !isFirst {
		limit = min(a.Left/2, lateLimit)
	}
	// An endpoint with free slots gets the request also when it was slow of late: only requests show that it recovered.
	isQueued := best.Load.Online >= best.Endpoint.Slots
	if a.Route.Objective > 0 && isQueued && best.Estimate > limit {
		return Refuse{Reason: "no endpoint answers in time", RetryAfter: p.returnTime(a), Estimate: best.Estimate}
	}
	return best
}

// lateLimit is the longest wait for a first event that callers bear: they leave after two seconds of silence.
const lateLimit = 1500 * time.Millisecond

// firstShare is the share of the longest deadline seen from which on a request counts as a first attempt.
const firstShare = 0.97

func (p *Placer) isFirstAttempt(a Ask) bool {
	longest := p.longest[a.Route.Name]
	if a.Left > longest {
		p.longest[a.Route.Name] = a.Left
		return true
	}
	return float64(a.Left) >= firstShare*float64(longest)
}

// Callers come back after at most a third of the time that they have left.
const (
	shortestReturn = 0.06
	longestReturn  = 0.3
)

// returnTime spreads returning callers over the time within which they come back at all.
func (p *Placer) returnTime(a Ask) time.Duration {
	share := shortestReturn + p.random.Float64()*(longestReturn-shortestReturn)
	return time.Duration(share * float64(a.Left))
}

// option is an endpoint with what choosing it would mean.
type option struct {
	send Send
	cost time.Duration
	// isNearAndFree says that the endpoint is in the VM's region, sound and has a free slot.
	isNearAndFree bool
}

// best returns the endpoint with the least cost: of a few near ones with free slots that are drawn at random, and of all
// when none of those has one.
//
// The draw is the power of two choices (Mitzenmacher, "How Useful Is Old Information?", 2000): when many VMs go by the
// same counts of some reports ago, the one that is best for all of them is soon the worst.
func (p *Placer) best(now time.Time, a Ask) (Send, bool) {
	options := make([]option, 0, len(a.Candidates))
	free := 0
	for _, e := range a.Candidates {
		if a.Tried[e.ID] {
			continue
		}
		o := p.estimate(now, a.Route, e)
		options = append(options, o)
		if o.isNearAndFree {
			// The free ones are kept in front.
			last := len(options) - 1
			options[free], options[last] = options[last], options[free]
			free++
		}
	}
	if len(options) == 0 {
		return Send{}, false
	}
	if n := p.sampleSize(free); free > 0 {
		for i := range n {
			j := i + p.random.IntN(free-i)
			options[i], options[j] = options[j], options[i]
		}
		options = options[:n]
	}
	best := options[0]
	for _, o := range options[1:] {
		if o.cost < best.cost {
			best = o
		}
	}
	return best.send, true
}

// sampleSize returns how many of n endpoints to compare: all while few VMs decide at once, fewer with every VM.
func (p *Placer) sampleSize(n int) int {
	peers := len(p.view.peers)
	if peers <= freshPeers {
		return n
	}
	return min(max(n*freshPeers/peers, leastSample), n)
}

const (
	// freshPeers is the number of peers whose reports come so often that their counts are as good as new.
	freshPeers  = 8
	leastSample = 2
)

// suspectCost puts suspect endpoints behind all others that can still serve.
const suspectCost = 10 * time.Second

// estimate returns the expected time to the first byte at the endpoint and the cost to compare endpoints by.
func (p *Placer) estimate(now time.Time, r registrar.Route, e registrar.Endpoint) option {
	k := KeyOf(e.ID)
	c := p.conditionOf(k)
	c.slots = e.Slots
	load := p.loadAt(now, k)
	s := Send{Endpoint: e, Load: load, Estimate: c.first + roundTrips[p.topology.To(e.AvailabilityZone)]}
	cost := s.Estimate
	switch {
	case load.sum() < e.Slots:
		cost += crowding(load.sum(), e.Slots)
	case load.Online < e.Slots:
		s.NeedsYield = true
		s.Estimate += yieldTime
		cost = s.Estimate + yieldTime + crowding(load.Online, e.Slots)
	default:
		ahead := load.Online - e.Slots + 1
		wait := c.hold * time.Duration(ahead) / time.Duration(e.Slots)
		s.Estimate += wait
		cost = s.Estimate + yieldTime
	}
	cost += time.Duration(min(c.recentFaults(now)+p.view.faults[k], mostFaults) * float64(faultCost))
	isSuspect := c.isSuspect(now, max(r.Objective, firstGuess))
	if isSuspect {
		cost += suspectCost
	}
	return option{
		send: s, cost: cost + time.Duration(p.random.Int64N(int64(jitter))),
		isNearAndFree: !isSuspect && load.sum() < e.Slots && p.topology.To(e.AvailabilityZone) != OtherRegion,
	}
}

const (
	// faultCost is the wait that a caller would bear rather than go where a request failed lately; a failed request
	// that may not be repeated is lost.
	faultCost = 60 * time.Millisecond
	// mostFaults keeps endpoints that failed often comparable.
	mostFaults = 20
	// fullCost is the wait that is feared at an endpoint whose last free slot another VM may have taken meanwhile: about
	// what a slot takes to come free there.
	fullCost = 60 * time.Millisecond
	// jitter spreads VMs that know the same over endpoints that are about as good, or they would all take one.
	jitter = 15 * time.Millisecond
)

// crowding returns the wait to fear at an endpoint with free slots; it grows fast as they run out, because counts are
// some reports old.
func crowding(taken, slots int) time.Duration {
	share := float64(taken) / float64(slots)
	return time.Duration(share * share * float64(fullCost))
}
