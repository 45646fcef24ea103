package delegator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

var endings = map[string]Ending{"served": Served, "refused": Refused, "failed": Failed, "canceled": Canceled}

// vm is the VM of a script, which is in the availability zone a.
type vm struct {
	t       *testing.T
	chooser *Chooser
	peers   []Peer
}

// TestScripts replays what a partitioned VM knows of its peers and hands over to them.
func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txt", func(t *testing.T) func(scripter.Step) []string {
		v := &vm{t: t, chooser: New(rand.New(rand.NewPCG(1, 1)), "a")}
		return v.execute
	})
}

func (v *vm) execute(s scripter.Step) []string {
	switch s.Verb {
	case "peers":
		v.peers = nil
		for _, entry := range strings.Split(s.Text("list", ""), ",") {
			if name, zone, ok := strings.Cut(entry, "@"); ok {
				v.peers = append(v.peers, Peer{VM: name, AvailabilityZone: zone, IsNear: zone == "a" || zone == "b"})
			}
		}
	case "request":
		return v.handOver(s)
	case "end":
		how, ok := endings[s.Text("how", "")]
		require.True(v.t, ok, "line %d", s.Line)
		for range s.Int("n", 1) {
			v.chooser.End(s.At, s.Name, how)
		}
	default:
		require.Fail(v.t, "unknown verb", "line %d: %s", s.Line, s.Verb)
	}
	return []string{}
}

// handOver hands n requests over and returns how many each peer got, or all of them, and how many none could take.
func (v *vm) handOver(s scripter.Step) []string {
	tried := map[string]bool{}
	for _, name := range strings.Split(s.Text("tried", ""), ",") {
		tried[name] = true
	}
	counts := map[string]int{}
	for range s.Int("n", 1) {
		p, ok := v.chooser.Choose(s.At, v.peers, tried)
		if !ok {
			counts["none"]++
			continue
		}
		v.chooser.Begin(p.VM)
		if s.Has("sum") {
			p.VM = "all"
		}
		counts[p.VM]++
	}
	lines := []string{}
	for name, n := range counts {
		lines = append(lines, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(lines)
	return lines
}

// newPeers returns n peers of one zone.
func newPeers(n int, zone string, isNear bool) []Peer {
	peers := make([]Peer, 0, n)
	for i := range n {
		peers = append(peers, Peer{VM: fmt.Sprintf("%s-%d", zone, i), AvailabilityZone: zone, IsNear: isNear})
	}
	return peers
}

// run draws requests, endings and times; inFlight holds the requests at each peer by a count of its own.
type run struct {
	chooser  *Chooser
	peers    []Peer
	now      time.Time
	inFlight map[string]int
}

func drawRun(t *rapid.T) *run {
	zones := rapid.SliceOfN(rapid.IntRange(0, 12), 3, 3).Draw(t, "peers by distance")
	return &run{
		chooser: New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), "a"), now: scripter.Epoch,
		inFlight: map[string]int{}, peers: slices.Concat(
			newPeers(zones[0], "a", true), newPeers(zones[1], "b", true), newPeers(zones[2], "far", false)),
	}
}

// step passes some time and then begins a request, or ends one; it returns the peer that was chosen, if any.
func (r *run) step(t *rapid.T) (Peer, bool) {
	r.now = r.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
	busy := []string{}
	for vm, n := range r.inFlight {
		if n > 0 {
			busy = append(busy, vm)
		}
	}
	slices.Sort(busy)
	if len(busy) > 0 && rapid.IntRange(0, 3).Draw(t, "what") == 0 {
		vm := rapid.SampledFrom(busy).Draw(t, "peer")
		r.inFlight[vm]--
		r.chooser.End(r.now, vm, Ending(rapid.IntRange(int(Served), int(Canceled)).Draw(t, "how")))
		return Peer{}, false
	}
	p, ok := r.chooser.Choose(r.now, r.peers, nil)
	if ok {
		r.chooser.Begin(p.VM)
		r.inFlight[p.VM]++
	}
	return p, ok
}

// TestNoPeerIsOverItsBound draws requests that are served, refused and fail: no peer ever has more in flight than its bound, and
// those of other regions together no more than theirs.
func TestNoPeerIsOverItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRun(t)
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			r.step(t)
			mostNear, mostFar, allFar := 0, 0, 0
			for _, p := range r.peers {
				if p.IsNear {
					mostNear = max(mostNear, r.inFlight[p.VM])
					continue
				}
				mostFar = max(mostFar, r.inFlight[p.VM])
				allFar += r.inFlight[p.VM]
			}
			assert.LessOrEqual(t, mostNear, MaxNear)
			assert.LessOrEqual(t, mostFar, MaxFar)
			assert.LessOrEqual(t, allFar, maxAllFar)
		}
	})
}

// TestAvoidedPeersComeBack draws any history: once the longest pause has passed and all requests have ended, each peer may be
// chosen again.
func TestAvoidedPeersComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRun(t)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			r.step(t)
		}
		for vm, n := range r.inFlight {
			for range n {
				r.chooser.End(r.now, vm, Failed)
			}
		}
		r.now = r.now.Add(longestFailurePause)
		for _, p := range r.peers {
			got, ok := r.chooser.Choose(r.now, []Peer{p}, nil)
			assert.True(t, ok, "%s is still avoided", p.VM)
			assert.Equal(t, p, got)
		}
	})
}

// TestRefusingPeerIsAvoided draws any history: right after a refusal or a failure the peer is not chosen.
func TestRefusingPeerIsAvoided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRun(t)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			p, ok := r.step(t)
			if !ok || rapid.Bool().Draw(t, "is kept") {
				continue
			}
			r.inFlight[p.VM]--
			r.chooser.End(r.now, p.VM, rapid.SampledFrom([]Ending{Refused, Failed}).Draw(t, "setback"))
			_, ok = r.chooser.Choose(r.now.Add(firstRefusalPause-1), []Peer{p}, nil)
			assert.False(t, ok, "%s is asked again at once", p.VM)
		}
	})
}

// TestEqualPeersShareTheRequests hands over 8 requests or more a peer on average, all in flight at once, and then ones that end
// at once: no peer gets more than twice the mean.
func TestEqualPeersShareTheRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "peers")
		mean := rapid.IntRange(8, MaxNear).Draw(t, "mean")
		peers := newPeers(n, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), true)
		for _, endsAtOnce := range []bool{false, true} {
			c, counts := New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), "a"), map[string]int{}
			for range n * mean {
				p, ok := c.Choose(scripter.Epoch, peers, nil)
				if !ok {
					continue
				}
				c.Begin(p.VM)
				counts[p.VM]++
				if endsAtOnce {
					c.End(scripter.Epoch, p.VM, Served)
				}
			}
			for name, got := range counts {
				assert.LessOrEqual(t, got, 2*mean, "%s, ends at once: %t", name, endsAtOnce)
			}
		}
	})
}

// TestNearerPeersComeFirst draws any history: a peer is chosen only if no nearer one is usable.
func TestNearerPeersComeFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRun(t)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			p, ok := r.step(t)
			if !ok {
				continue
			}
			for _, other := range r.peers {
				if r.chooser.distanceTo(other) < r.chooser.distanceTo(p) {
					_, isUsable := r.chooser.Choose(r.now, []Peer{other}, nil)
					assert.False(t, isUsable, "%s was chosen, but %s is nearer", p.VM, other.VM)
				}
			}
		}
	})
}

// TestPausesStayBounded lets a peer fail a thousand times in a row: it is asked again after the longest pause each time, and not
// sooner once the pause has that length.
func TestPausesStayBounded(t *testing.T) {
	for how, longest := range map[Ending]time.Duration{Refused: longestRefusalPause, Failed: longestFailurePause} {
		c, peers, now := New(rand.New(rand.NewPCG(1, 1)), "a"), newPeers(1, "a", true), scripter.Epoch
		for n := range 1000 {
			c.Begin(peers[0].VM)
			c.End(now, peers[0].VM, how)
			_, ok := c.Choose(now.Add(longest-1), peers, nil)
			require.Equal(t, n < 4, ok, "setback %d", n)
			now = now.Add(longest)
			_, ok = c.Choose(now, peers, nil)
			require.True(t, ok, "setback %d", n)
		}
	}
}
