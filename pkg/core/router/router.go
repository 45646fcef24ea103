package router

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const (
	// affinityBlocks is how many blocks of the prompt decide its endpoint.
	affinityBlocks  = 4
	loadBoundFactor = 1.25
	// maxReportAge is the age from which a reported wait is ignored.
	maxReportAge = 10 * time.Second
	// loadDecayTime is the time constant with which a reported load decays.
	loadDecayTime = 1500 * time.Millisecond
	maxCandidates = 4
	// avoidAfterFailure is how long a failed endpoint ranks behind all others.
	avoidAfterFailure = 2 * time.Second
	// crossRegionMinGain is how many times as long as another region's wait and round trip the local wait must be for that
	// region to be tried first.
	crossRegionMinGain = 2.0
	// fullLoad is the load at which every slot is in use.
	fullLoad         = 1.0
	linkBurstSeconds = 1
)

// state is an endpoint with what this VM knows about its load.
type state struct {
	Endpoint
	hash uint64
	// report is the latest load report, valid at reportedAt.
	report     LoadReported
	reportedAt time.Time
	// inFlight counts the requests of this VM.
	inFlight        int
	sentSinceReport int
	avoidUntil      time.Time
	isLeaving       bool
}

// Router ranks endpoints for the requests of one VM.
type Router struct {
	region  string
	zone    string
	byName  map[string]*state
	serving map[string][]*state
	links   []*link
	hints   *hintCache
	random  *rand.Rand
}

type link struct {
	Link
	budget *rate.Limiter
}

// New returns a router without endpoints; random spreads the requests that have no prompt blocks.
func New(random *rand.Rand) *Router {
	return &Router{byName: map[string]*state{}, serving: map[string][]*state{}, hints: newHintCache(), random: random}
}

// NextWake is always absent: a router only acts on inputs.
func (r *Router) NextWake() option.Option[time.Time] {
	return option.None[time.Time]()
}

// Handle processes one input; a Route returns one Candidates, the other inputs return nothing.
func (r *Router) Handle(now time.Time, in Input) []Output {
	switch in := in.(type) {
	case Configured:
		r.configure(in)
	case LoadReported:
		if s, ok := r.byName[in.Endpoint]; ok {
			s.report, s.reportedAt, s.sentSinceReport = in, now.Add(-in.Age), 0
		}
	case BlocksCached:
		if s, ok := r.byName[in.Endpoint]; ok {
			r.hints.add(s, in.Blocks)
		}
	case Sent:
		if s, ok := r.byName[in.Endpoint]; ok {
			s.inFlight++
			s.sentSinceReport++
		}
	case Ended:
		r.end(now, in)
	case EndpointLeaving:
		if s, ok := r.byName[in.Endpoint]; ok {
			s.isLeaving = true
		}
	case Route:
		return []Output{Candidates{Endpoints: r.route(now, in)}}
	}
	return nil
}

func (r *Router) configure(in Configured) {
	old := r.byName
	r.region, r.zone = in.Region, in.AvailabilityZone
	r.byName, r.serving = map[string]*state{}, map[string][]*state{}
	for _, e := range in.Endpoints {
		s, ok := old[e.Name]
		if !ok {
			s = &state{hash: xxhash.Sum64String(e.Name)}
		}
		s.Endpoint = e
		s.isLeaving = false
		r.byName[e.Name] = s
		for _, name := range e.Serves {
			r.serving[name] = append(r.serving[name], s)
		}
	}
	r.links = nil
	for _, l := range in.Links {
		burst := max(1, int(l.BytesPerSecond*linkBurstSeconds))
		r.links = append(r.links, &link{Link: l, budget: rate.NewLimiter(rate.Limit(l.BytesPerSecond), burst)})
	}
}

func (r *Router) end(now time.Time, in Ended) {
	s, ok := r.byName[in.Endpoint]
	if !ok {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if in.IsFailed {
		s.avoidUntil = now.Add(avoidAfterFailure)
	}
}

// load returns the used share of the endpoint's slots: this VM's requests, plus the other VMs' as reported. The reported
// part decays with its age: all VMs receive the same old report, and without the decay they would all leave an endpoint,
// and return to it, at the same time.
func (s *state) load(now time.Time) float64 {
	n := float64(s.inFlight)
	if reported := float64(s.report.InUse + s.report.Queued + s.sentSinceReport); reported > n && !s.reportedAt.IsZero() {
		n += (reported - n) * math.Exp(-now.Sub(s.reportedAt).Seconds()/loadDecayTime.Seconds())
	}
	return n / float64(max(1, s.Slots))
}

// candidate is an endpoint with the values that decide its rank.
type candidate struct {
	*state
	isAvoided   bool
	isOverBound bool
	// hits is how many leading prompt blocks the endpoint is known to hold.
	hits   int
	weight uint64
	load   float64
}

func (r *Router) route(now time.Time, in Route) []string {
	local := r.rank(now, in, r.region)
	if remoteBest, ok := r.bestRemote(now, in, local); ok {
		local = slices.Insert(local, 0, remoteBest)
	}
	names := make([]string, 0, maxCandidates)
	for _, c := range local[:min(len(local), maxCandidates)] {
		names = append(names, c.Name)
	}
	return names
}

// rank orders the endpoints of a region: those within the load bound first, then by the longest known cached prefix, then
// by rendezvous hashing. Endpoints that failed recently come last.
func (r *Router) rank(now time.Time, in Route, region string) []candidate {
	list := make([]candidate, 0, len(r.serving[in.Serves]))
	total := 0.0
	for _, s := range r.serving[in.Serves] {
		if s.Region != region || s.isLeaving || slices.Contains(in.Exclude, s.Name) {
			continue
		}
		c := candidate{state: s, load: s.load(now), isAvoided: now.Before(s.avoidUntil)}
		total += c.load
		list = append(list, c)
	}
	key, isKeyed := r.affinityKey(in.Blocks)
	bound := r.loadBound(total, list)
	hits := r.hints.longest(in.Blocks)
	for i := range list {
		c := &list[i]
		c.isOverBound = c.load >= bound
		c.weight = rendezvousWeight(key, c.hash)
		c.hits = hits[c.state]
	}
	slices.SortFunc(list, func(a, b candidate) int { return r.compare(a, b, isKeyed) })
	return list
}

// loadBound returns the load from which an endpoint ranks behind the others: loadBoundFactor times the mean, plus the
// average load of one request (V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing with bounded loads", 2016).
func (r *Router) loadBound(total float64, list []candidate) float64 {
	if len(list) == 0 {
		return 0
	}
	slots := 0
	for _, c := range list {
		slots += c.Slots
	}
	one := float64(len(list)) / float64(max(1, slots))
	return loadBoundFactor*total/float64(len(list)) + one
}

// compare orders two endpoints for a request. Without an affinity key, or if both are over the load bound, endpoints of other
// availability zones that have load come last.
func (r *Router) compare(a, b candidate, isKeyed bool) int {
	if c := compareBool(a.isAvoided, b.isAvoided); c != 0 {
		return c
	}
	if c := compareBool(a.isOverBound, b.isOverBound); c != 0 {
		return c
	}
	if isKeyed && a.hits != b.hits {
		return b.hits - a.hits
	}
	if !isKeyed || a.isOverBound {
		if c := compareBool(a.AvailabilityZone != r.zone && a.load > 0, b.AvailabilityZone != r.zone && b.load > 0); c != 0 {
			return c
		}
	}
	return cmp.Compare(b.weight, a.weight)
}

// affinityKey returns the hash that covers the first blocks, or a random key for a prompt without blocks, which is too
// short to be worth caching.
func (r *Router) affinityKey(blocks []uint64) (uint64, bool) {
	if len(blocks) == 0 {
		return r.random.Uint64(), false
	}
	return blocks[min(affinityBlocks, len(blocks))-1], true
}

// bestRemote returns the best endpoint of the first linked region where the wait and the round trip are clearly shorter
// than the wait in this region and whose link budget allows the request.
func (r *Router) bestRemote(now time.Time, in Route, local []candidate) (candidate, bool) {
	localWait := time.Duration(1<<62 - 1)
	if len(local) > 0 {
		localWait = local[0].wait(now)
	}
	for _, l := range r.links {
		remote := r.rank(now, in, l.Region)
		if len(remote) == 0 || remote[0].isAvoided {
			continue
		}
		remoteWait := remote[0].wait(now) + 2*l.OneWay
		if float64(localWait) <= crossRegionMinGain*float64(remoteWait) {
			continue
		}
		if l.budget.AllowN(now, in.Bytes) {
			return remote[0], true
		}
	}
	return candidate{}, false
}

// wait returns how long a new request waits for a slot of the endpoint, 0 if one is free or the last report is too old.
func (c candidate) wait(now time.Time) time.Duration {
	if now.Sub(c.reportedAt) >= maxReportAge || c.load < fullLoad {
		return 0
	}
	return c.report.Wait
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func rendezvousWeight(a, b uint64) uint64 {
	raw := [16]byte{}
	binary.LittleEndian.PutUint64(raw[:8], a)
	binary.LittleEndian.PutUint64(raw[8:], b)
	return xxhash.Sum64(raw[:])
}
