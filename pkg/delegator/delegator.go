package delegator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/acceptor"
	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	core "github.com/dogwoodledge/dogwoodledge/pkg/core/delegator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/drainer"
	"github.com/dogwoodledge/dogwoodledge/pkg/tracer"
)

// Header is the header in which a VM names itself in the requests that it hands over. It must be taken off requests of callers,
// and endpoints don't get it.
const Header = "Dogwoodledge-Delegated-By"

// UnavailableHeader marks the refusals of a VM that takes no requests of other VMs at the time, whatever they are: it stops, has
// too many of them in flight, or is partitioned from the endpoints as well.
const UnavailableHeader = "Dogwoodledge-Unavailable"

// Headers names the headers that the delegator reads and sets.
type Headers struct {
	// RequestID is repeated in every answer. Timeout holds the milliseconds that are left.
	RequestID, Timeout string
	// NotExecuted guarantees that the request has not run. Signature marks an answer as made by an endpoint.
	NotExecuted, Signature string
}

// Config describes this VM and the port for the requests that other VMs hand over.
type Config struct {
	VM string
	// Address is where the VM listens; all VMs use the same port.
	Address netip.AddrPort
	// Zone is the VM's availability zone.
	Zone    string
	Limits  Limits
	Headers Headers
	// Bodies holds what is held for the requests of other VMs; nil for no budget.
	Bodies *bodyreader.Reader
}

// Counters count the requests between VMs since the start.
type Counters struct {
	// HandedOver counts the requests handed over to other VMs, each one tried; NoPeer those that no other VM could take.
	HandedOver, NoPeer atomic.Int64
	// Received counts the requests of other VMs; RefusedHere those of them that this VM did not run.
	Received, RefusedHere atomic.Int64
}

// Delegator hands requests over to other VMs and serves theirs; it is safe for concurrent use.
type Delegator struct {
	Counters
	// Connections counts what happened to other VMs' connections.
	Connections acceptor.Counters

	cfg   Config
	peers func() []core.Peer
	log   logrus.FieldLogger
	// refusalLog bounds the log lines about refused requests, by cause.
	refusalLog *tracer.Sampler

	mu      sync.Mutex
	chooser *core.Chooser

	handler http.Handler
	server  *http.Server
	port    *acceptor.Port
	// drain is the planned stop that Leave was called with; nil before.
	drain atomic.Pointer[drainer.Drain]
	// isClosed says that all further requests are refused.
	isClosed atomic.Bool
	inFlight atomic.Int64
}

// New returns a delegator that hands over to those of the peers, which must all be in touch with the endpoints.
func New(cfg Config, peers func() []core.Peer, random *rand.Rand, log logrus.FieldLogger) *Delegator {
	cfg.Limits = cfg.Limits.withDefaults()
	return &Delegator{
		cfg: cfg, peers: peers, log: log, refusalLog: tracer.NewSampler(refusalLines), chooser: core.New(random, cfg.Zone),
	}
}

// Delegation is one request that is handed over to another VM.
type Delegation struct {
	// VM is the peer, and Address that of its port; From is this VM.
	VM, From string
	Address  netip.AddrPort

	delegator *Delegator
	isEnded   atomic.Bool
}

// Begin chooses the peer for a request that the tried ones, by VM, did not serve; false if no other one can take it. The
// delegation must be ended.
func (d *Delegator) Begin(tried map[string]bool) (*Delegation, bool) {
	peers := d.peers()
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.chooser.Choose(time.Now(), peers, tried)
	if !ok {
		d.NoPeer.Add(1)
		return nil, false
	}
	d.chooser.Begin(p.VM)
	d.HandedOver.Add(1)
	return &Delegation{VM: p.VM, From: d.cfg.VM, Address: p.Address, delegator: d}, true
}

// HasPeers reports whether any other VM is in touch with the endpoints.
func (d *Delegator) HasPeers() bool { return len(d.peers()) > 0 }

// HasNearPeers reports whether a VM of this one's region is in touch with the endpoints.
func (d *Delegator) HasNearPeers() bool {
	return slices.ContainsFunc(d.peers(), func(p core.Peer) bool { return p.IsNear })
}

// End records how the request ended at the peer; only the first call counts.
func (g *Delegation) End(how core.Ending) {
	if g.isEnded.Swap(true) {
		return
	}
	d := g.delegator
	d.mu.Lock()
	defer d.mu.Unlock()
	d.chooser.End(time.Now(), g.VM, how)
}

// SetHandler sets what serves the requests of other VMs; call it before Start.
func (d *Delegator) SetHandler(h http.Handler) { d.handler = h }

// Leave refuses the requests of other VMs that may not end before this VM does. Their VMs can try others at once.
func (d *Delegator) Leave(dr drainer.Drain) {
	// Unlike the load balancer, other VMs learn of the stop by each answer.
	dr.Propagation = 0
	d.drain.Store(&dr)
}

// Close refuses all further requests; once InFlight is 0 after it, Stop cuts off no request.
func (d *Delegator) Close() { d.isClosed.Store(true) }

// isLeaving reports whether connections are closed after their answers.
func (d *Delegator) isLeaving() bool { return d.drain.Load() != nil || d.isClosed.Load() }

// InFlight returns the number of requests of other VMs in flight.
func (d *Delegator) InFlight() int64 { return d.inFlight.Load() }

// Stop closes the port, refuses what arrives on open connections until ctx ends or none is open, and closes the server. Requests
// in flight when ctx ends are cut off.
func (d *Delegator) Stop(ctx context.Context) {
	d.Close()
	if d.server == nil {
		return
	}
	d.awaitClosed(ctx)
	_ = d.server.Close()
}
