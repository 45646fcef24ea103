package delegator

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// MaxNear bounds the requests of this VM that are in flight at one peer of its region.
	MaxNear = 32
	// MaxFar bounds those at one peer of another region.
	MaxFar = 8
	// maxAllFar bounds those in flight at all peers of other regions.
	maxAllFar = 64
	// firstRefusalPause and firstFailurePause are how long a peer is avoided after its first refusal or failure. The pause doubles
	// with each one in a row up to the longest.
	firstRefusalPause   = 50 * time.Millisecond
	longestRefusalPause = 800 * time.Millisecond
	firstFailurePause   = 200 * time.Millisecond
	longestFailurePause = 3200 * time.Millisecond
	// forgetAfter is the time after the end of a pause from which on the next one is a first one again.
	forgetAfter = 10 * time.Second
)

// Peer is another VM that is in touch with the endpoints.
type Peer struct {
	VM string
	// Address is that of its port for the requests that other VMs hand over.
	Address          netip.AddrPort
	AvailabilityZone string
	// IsNear says that the peer is in the region of this VM.
	IsNear bool
}

// Ending says how a request ended at a peer.
type Ending int

// The endings. Refused means that the peer said that it did not run the request; Failed that no connection was established or
// that the answer broke off; Canceled that this VM or its caller ended the request, which says nothing about the peer.
const (
	Served Ending = iota
	Refused
	Failed
	Canceled
)

// Chooser chooses peers by the requests of this VM that are in flight there, and by how the latest ones ended. It is not safe for
// concurrent use.
type Chooser struct {
	random *rand.Rand
	zone   string
	states map[string]*state
	// begun counts the requests begun.
	begun uint64
}

// state is what is known of a peer.
type state struct {
	inFlight int
	// lastBegun is the number of the request that was begun there last, endedAt when one ended last.
	lastBegun uint64
	endedAt   time.Time
	// setbacks counts the pauses in a row.
	setbacks     int
	avoidedUntil time.Time
}

// New returns a chooser for a VM in the availability zone.
func New(random *rand.Rand, zone string) *Chooser {
	return &Chooser{random: random, zone: zone, states: map[string]*state{}}
}

// Choose returns the peer for a request that the tried ones did not serve; false if none of the others is usable. Of two usable
// peers drawn at random it is the one with fewer requests in flight. Farther peers are used only if no nearer one is usable.
func (c *Chooser) Choose(now time.Time, peers []Peer, tried map[string]bool) (Peer, bool) {
	usable, allFar := [distances][]Peer{}, 0
	for _, p := range peers {
		d, s := c.distanceTo(p), c.stateOf(p.VM)
		if d == otherRegion {
			allFar += s.inFlight
		}
		if !tried[p.VM] && s.inFlight < maxInFlight[d] && !now.Before(s.avoidedUntil) {
			usable[d] = append(usable[d], p)
		}
	}
	if allFar >= maxAllFar {
		usable[otherRegion] = nil
	}
	for _, list := range usable {
		if len(list) > 0 {
			return c.chooseOf(list), true
		}
	}
	return Peer{}, false
}

// distance is that between this VM and a peer.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
	distances
)

// maxInFlight bounds the requests in flight at a peer, by its distance.
var maxInFlight = [distances]int{sameZone: MaxNear, sameRegion: MaxNear, otherRegion: MaxFar}

func (c *Chooser) distanceTo(p Peer) distance {
	switch {
	case p.AvailabilityZone == c.zone:
		return sameZone
	case p.IsNear:
		return sameRegion
	default:
		return otherRegion
	}
}

// stateOf returns a copy of what is known of the peer.
func (c *Chooser) stateOf(vm string) state {
	if s, ok := c.states[vm]; ok {
		return *s
	}
	return state{}
}

func (c *Chooser) chooseOf(peers []Peer) Peer {
	first := c.random.IntN(len(peers))
	if len(peers) == 1 {
		return peers[first]
	}
	second := c.random.IntN(len(peers) - 1)
	if second >= first {
		second++
	}
	a, b := c.stateOf(peers[first].VM), c.stateOf(peers[second].VM)
	if cmp.Or(cmp.Compare(b.inFlight, a.inFlight), cmp.Compare(b.lastBegun, a.lastBegun)) < 0 {
		return peers[second]
	}
	return peers[first]
}

// Begin records that a request is handed over to the peer.
func (c *Chooser) Begin(vm string) {
	s, ok := c.states[vm]
	if !ok {
		s = &state{}
		c.states[vm] = s
	}
	c.begun++
	s.inFlight++
	s.lastBegun = c.begun
}

// End records how a request that was begun at the peer ended.
func (c *Chooser) End(now time.Time, vm string, how Ending) {
	s, ok := c.states[vm]
	if !ok {
		return
	}
	s.inFlight, s.endedAt = max(0, s.inFlight-1), now
	switch how {
	case Served:
		s.setbacks = 0
	case Refused:
		s.avoid(now, firstRefusalPause, longestRefusalPause)
	case Failed:
		s.avoid(now, firstFailurePause, longestFailurePause)
	case Canceled:
	}
	c.forget(now)
}

// avoid begins a pause. Requests that end within one, as those of a burst do, prolong it without making it a further one.
func (s *state) avoid(now time.Time, first, longest time.Duration) {
	if !now.Before(s.avoidedUntil) {
		if now.Sub(s.avoidedUntil) > forgetAfter {
			s.setbacks = 0
		}
		s.setbacks++
	}
	pause := first
	for n := 1; n < s.setbacks && pause < longest; n++ {
		pause *= 2
	}
	if until := now.Add(min(pause, longest)); until.After(s.avoidedUntil) {
		s.avoidedUntil = until
	}
}

// forget drops what is known of peers that may have left.
func (c *Chooser) forget(now time.Time) {
	for vm, s := range c.states {
		if s.inFlight == 0 && now.Sub(s.endedAt) > forgetAfter && now.Sub(s.avoidedUntil) > forgetAfter {
			delete(c.states, vm)
		}
	}
}
