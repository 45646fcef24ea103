package assembler

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	core "github.com/dogwoodledge/dogwoodledge/pkg/core/delegator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/surveyor"
	"github.com/dogwoodledge/dogwoodledge/pkg/delegator"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/isolator"
	"github.com/dogwoodledge/dogwoodledge/pkg/scout"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
	"github.com/dogwoodledge/dogwoodledge/platform"
)

const (
	// delegationPortOffset is added to the first of the ports between VMs for the port of requests that VMs hand over; the one in
	// between is that of the metrics.
	delegationPortOffset = 2
	// maxIdlePerPeer bounds the idle connections to each VM that requests are handed over to.
	maxIdlePerPeer = 16
)

func newScout(
	s platform.Settings, p *dialer.Pool, w *watcher.Watcher, g *gossiper.Gossiper, b *balancer.Balancer, i *isolator.Isolator,
	source func() *rand.Rand, log logrus.FieldLogger,
) *scout.Scout {
	sc := scout.New(s.VM.ID, p, scoutPeers{g}, w.Current, source(), log)
	p.SetObserver(sc)
	b.SetWitness(sc)
	i.SetVouches(sc.Vouches)
	return sc
}

// scoutPeers draws the VMs that a scout asks.
type scoutPeers struct{ *gossiper.Gossiper }

// InTouch implements scout.Peers.
func (p scoutPeers) InTouch(n int) []string {
	var near, far []string
	for _, peer := range p.PeersInTouch() {
		if peer.IsNear {
			near = append(near, peer.Name)
		} else {
			far = append(far, peer.Name)
		}
	}
	for _, list := range [][]string{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	near = append(near, far...)
	return near[:min(n, len(near))]
}

func newDelegator(
	s platform.Settings, g *gossiper.Gossiper, bodies *bodyreader.Reader, source func() *rand.Rand, log logrus.FieldLogger,
) *delegator.Delegator {
	port := s.FirstPort + delegationPortOffset
	cache := &peerCache{gossiper: g, port: port}
	h := platform.Headers()
	return delegator.New(delegator.Config{
		VM: s.VM.ID, Address: netip.AddrPortFrom(s.IP, port), Zone: s.VM.AvailabilityZone, Bodies: bodies,
		Headers: delegator.Headers{
			RequestID: h.RequestID, Timeout: h.Timeout, NotExecuted: h.NotExecuted, Signature: h.Signature,
		},
	}, cache.peers, source(), log)
}

// peersAge is how old the list of peers may be: the failure detector's messages take longer.
const peersAge = 50 * time.Millisecond

// peerCache holds the VMs in touch with the endpoints, so that a request costs no pass over all VMs.
type peerCache struct {
	gossiper *gossiper.Gossiper
	port     uint16

	mu   sync.Mutex
	list []core.Peer
	asOf time.Time
}

func (c *peerCache) peers() []core.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.asOf) < peersAge {
		return c.list
	}
	c.asOf, c.list = now, nil
	for _, p := range c.gossiper.PeersInTouch() {
		c.list = append(c.list, core.Peer{
			VM: p.Name, Address: netip.AddrPortFrom(p.Address.Addr(), c.port), AvailabilityZone: p.AvailabilityZone, IsNear: p.IsNear,
		})
	}
	return c.list
}

// peerPool holds the connections to other VMs.
type peerPool struct{ *dialer.Pool }

func newPeerPool() *peerPool {
	return &peerPool{dialer.NewPool(func(string) int { return maxIdlePerPeer })}
}

// exportLinks exports the counters of partitions, and of the requests that VMs hand over.
func (g *gateway) exportLinks() error {
	s, d := &g.Scout.Counters, &g.Delegator.Counters
	for _, c := range []struct {
		name, description string
		counter           *atomic.Int64
	}{
		{"partitions", "times that this VM lost its links to the endpoints", &s.Partitions},
		{"link_probes", "connections opened to tell whether the links to the endpoints of a VM are lost", &s.Probes},
		{"link_questions", "questions to other VMs whether they reach an endpoint", &s.Questions},
		{"link_malformed", "messages about links that can't be decoded", &s.Malformed},
		{"delegated_out", "requests handed over to other VMs, each VM that was tried", &d.HandedOver},
		{"delegated_no_peer", "requests that could be handed over to no other VM", &d.NoPeer},
		{"delegated_in", "requests that other VMs handed over to this one", &d.Received},
		{"delegated_refused", "requests of other VMs that this one did not run", &d.RefusedHere},
	} {
		if err := g.Meter.Count(c.name, c.description, c.counter.Load); err != nil {
			return err
		}
	}
	return nil
}

// isAway reports whether callers should go to other VMs, since this one reaches no endpoint and one of its region does.
func isAway(sc *scout.Scout, d *delegator.Delegator) func() bool {
	return func() bool { return sc.IsPartitioned() && d.HasNearPeers() }
}

// linksChanged passes a change of the links to the endpoints on to all that go by it.
func (g *gateway) linksChanged(s surveyor.State) {
	isPartitioned := s.Phase != surveyor.InTouch
	g.Balancer.ForgetFailures()
	g.Gossiper.AnnouncePartitioned(isPartitioned)
	g.ItemRunner.SetPartitioned(isPartitioned, s.IsSilent)
}
