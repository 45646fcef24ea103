package gossiper

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/hasher"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// VMTable is the store's table of VMs, with the VM's name as key.
	VMTable = "vm"
	// probeInterval, ackTimeout and suspicionTimeout are those of the failure detector: a VM that stops is lost for its peers
	// about SilenceTimeout later.
	probeInterval    = 300 * time.Millisecond
	ackTimeout       = 120 * time.Millisecond
	suspicionTimeout = time.Second
	// listGap is the pause between calls of the feed of VMs: when all VMs start at once, each reads the list a few times and not
	// once for each other VM.
	listGap = 500 * time.Millisecond
	// SilenceTimeout is about how long a VM must be silent before its peers call it lost.
	SilenceTimeout = probeInterval + ackTimeout + suspicionTimeout
	// storeReportTimeout is how long a peer's statement that it reaches the store counts.
	storeReportTimeout = 1500 * time.Millisecond
	// partitionWindow is how long a silent VM is assumed to be partitioned rather than stopped.
	partitionWindow = 30 * time.Second
	// refutationBits is the number of low bits of a detector's incarnation that count refutations; the others hold the
	// incarnation of the VM's process.
	refutationBits = 12
	// maxPartitionIncarnations is how many of these a VM may use up and still say that it is partitioned; the others are left for
	// refutations, so that the count doesn't reach the incarnation of the process. At two changes each, a process can say so some
	// thousand times.
	maxPartitionIncarnations = 1 << (refutationBits - 1)
)

// Config identifies this VM.
type Config struct {
	VM string
	// Incarnation grows with each process of the VM; see NextIncarnation.
	Incarnation int64
	Address     netip.AddrPort
	Region      string
	// AvailabilityZone is the VM's zone in the region; it may be empty.
	AvailabilityZone string
	// Capacity is the share of a core that the VM has.
	Capacity float64
	// HasManyEndpoints says that the VM's row is to say that the deployment has many endpoints.
	HasManyEndpoints bool
}

// vmRow is the value of a VM's row in the store.
type vmRow struct {
	Address     netip.AddrPort `json:"address"`
	Incarnation int64          `json:"incarnation"`
	Region      string         `json:"region"`
	// AvailabilityZone is empty in rows that older builds wrote.
	AvailabilityZone string  `json:"zone,omitempty"`
	Capacity         float64 `json:"capacity"`
	// HasManyEndpoints says that the VM's next process is to read the endpoints from other VMs.
	HasManyEndpoints bool `json:"manyEndpoints,omitempty"`
}

// Handler is called with payloads and updates from other VMs; its methods must not block.
type Handler struct {
	// Payload is called with a payload that a peer passed to Send.
	Payload func(payload []byte)
	// EndpointLeaving is called when a peer has learned that an endpoint leaves.
	EndpointLeaving func(endpoint string)
	// ConfigLearned is called when the peer vm has a newer configuration than this VM, with the version of its row in the store.
	ConfigLearned func(row int64, vm string)
}

// member is what this VM knows of another one besides the detector's state.
type member struct {
	row vmRow
	// listedAt is when its row was last read from the store, at version; zero if it has none.
	listedAt time.Time
	version  int64
	// silentSince is when it became suspect or lost without having left; zero while it is live.
	silentSince time.Time
	// lostAt is when it was last declared lost.
	lostAt time.Time
}

// Gossiper maintains the membership of VMs and carries payloads between them.
type Gossiper struct {
	cfg   Config
	store storer.Table
	feed  *watcher.Feed
	conn  *net.UDPConn
	log   logrus.FieldLogger
	// handler is what is called with payloads and updates.
	handler atomic.Pointer[Handler]

	mu       sync.Mutex
	detector *detector.Detector
	// states is the detector's newest state of each other VM, members what else is known of them.
	states  map[string]detector.Member
	members map[string]*member
	// ranks caches the results of Rank until the states or the rows change.
	ranks map[string][]string
	// listedAt is when the list of VMs was first read from the store; zero before.
	listedAt time.Time
	// storeSeenAt is when a live peer last said that it reaches the store.
	storeSeenAt time.Time

	isLeaving atomic.Bool
	// isPartitioned says that this VM reaches no endpoint; announcing is held while it changes.
	isPartitioned atomic.Bool
	announcing    sync.Mutex
	// configRow is the version of the row of the active configuration.
	configRow atomic.Int64
	// isRegistered says that this VM's row was written; unlisted signals that it has to be written again.
	isRegistered     atomic.Bool
	unlisted         chan struct{}
	hasManyEndpoints atomic.Bool

	// Counters can be read from any goroutine.
	Counters Counters
}

// Counters count datagrams; Malformed ones were received, could not be decoded and were dropped.
type Counters struct {
	Sent, Received, Malformed atomic.Int64
}

// New returns a gossiper that is not started.
func New(cfg Config, store storer.Table, random *rand.Rand, log logrus.FieldLogger) *Gossiper {
	self := detector.Member{
		VM: cfg.VM, Address: cfg.Address, Region: cfg.Region, AvailabilityZone: cfg.AvailabilityZone,
		Incarnation: uint64(cfg.Incarnation) << refutationBits,
	}
	settings := detector.DefaultConfig(self)
	settings.ProbeInterval, settings.AckTimeout, settings.SuspicionTimeout = probeInterval, ackTimeout, suspicionTimeout
	settings.ForgetLostAfter = 2 * forgetAfter
	settings.MaxPartitionIncarnation = self.Incarnation + maxPartitionIncarnations
	g := &Gossiper{
		cfg: cfg, store: store, log: log, detector: detector.New(settings, random),
		states: map[string]detector.Member{}, members: map[string]*member{}, ranks: map[string][]string{},
		unlisted: make(chan struct{}, 1),
	}
	g.handler.Store(&Handler{})
	g.hasManyEndpoints.Store(cfg.HasManyEndpoints)
	g.feed = watcher.NewFeed(store, VMTable, []string{""}, g.applyTable, log)
	g.feed.SetGap(listGap)
	return g
}

// SetHandler sets what is called with payloads and updates; those that arrive before the first call are dropped.
func (g *Gossiper) SetHandler(h Handler) { g.handler.Store(&h) }

// Start listens, registers this VM and probes the others until ctx ends.
func (g *Gossiper) Start(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(g.cfg.Address))
	if err != nil {
		return errors.Wrap(err, "listen for datagrams of other VMs")
	}
	g.conn = conn
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go g.runRegister(ctx)
	g.feed.Start(ctx)
	go g.runReceive()
	go g.runProbe(ctx)
	go g.runForget(ctx)
	return nil
}

// Leave notifies the peers that this VM stops.
func (g *Gossiper) Leave() {
	g.isLeaving.Store(true)
	g.handle(time.Now(), detector.LeaveOrdered{})
}

// AnnounceLeaving notifies the peers that the endpoint leaves.
func (g *Gossiper) AnnounceLeaving(endpoint string) {
	g.handle(time.Now(), detector.EndpointChanged{Update: detector.EndpointUpdate{
		Endpoint: endpoint, IsLeaving: true, Number: uint64(time.Now().UnixNano()),
	}})
}

// AnnounceConfig notifies the peers of the configuration that is active on this VM, by the version of its row in the store.
func (g *Gossiper) AnnounceConfig(row int64) {
	if g.configRow.Swap(row) != row {
		g.handle(time.Now(), detector.HeadActivated{Head: configurator.Head{Revision: row}})
	}
}

// Incarnation returns this VM's incarnation.
func (g *Gossiper) Incarnation() int64 { return g.cfg.Incarnation }

// HasManyEndpoints reports whether the VM's row says that the deployment has many endpoints.
func (g *Gossiper) HasManyEndpoints() bool { return g.hasManyEndpoints.Load() }

// HasVMList reports whether the list of VMs has been read from the store.
func (g *Gossiper) HasVMList() bool { return g.feed.Version() > 0 }

// runProbe wakes the failure detector at the times that it asks for.
func (g *Gossiper) runProbe(ctx context.Context) {
	// VMs that start together probe at different times.
	timer := time.NewTimer(rand.N(probeInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		g.handle(time.Now(), detector.Woken{})
		g.mu.Lock()
		wake, ok := g.detector.NextWake().Get()
		g.mu.Unlock()
		if !ok {
			wake = time.Now().Add(probeInterval)
		}
		timer.Reset(max(time.Until(wake), time.Millisecond))
	}
}

// handle passes an input to the failure detector and carries out what it requests.
func (g *Gossiper) handle(now time.Time, in detector.Input) {
	g.mu.Lock()
	var leaving []string
	var newer []detector.HeadLearned
	for _, out := range g.detector.Handle(now, in) {
		switch out := out.(type) {
		case detector.Send:
			g.sendMessage(out)
		case detector.Changed:
			g.recordChange(now, out.Member)
		case detector.EndpointLearned:
			if out.Update.IsLeaving {
				leaving = append(leaving, out.Update.Endpoint)
			}
		case detector.HeadLearned:
			newer = append(newer, out)
		}
	}
	g.mu.Unlock()
	handler := g.handler.Load()
	for _, e := range leaving {
		if handler.EndpointLeaving != nil {
			handler.EndpointLeaving(e)
		}
	}
	for _, n := range newer {
		if handler.ConfigLearned != nil {
			handler.ConfigLearned(n.Head.Revision, n.VM)
		}
	}
}

// recordChange records the new state of a VM; the lock is held.
func (g *Gossiper) recordChange(now time.Time, m detector.Member) {
	old, isKnown := g.states[m.VM]
	g.states[m.VM] = m
	clear(g.ranks)
	known, ok := g.members[m.VM]
	if !ok {
		known = &member{}
		g.members[m.VM] = known
	}
	if m.State == detector.Lost {
		known.lostAt = now
	}
	isSilent := m.State == detector.Suspect || m.State == detector.Lost
	switch {
	case !isSilent:
		known.silentSince = time.Time{}
	case known.silentSince.IsZero() && isKnown && old.State == detector.Alive:
		known.silentSince = now
	}
	if !isKnown || old.State != m.State || old.IsPartitioned != m.IsPartitioned {
		g.log.WithFields(logrus.Fields{
			"peer": m.VM, "state": m.State.String(), "incarnation": processOf(m), "partitioned": m.CountsAsPartitioned(),
			"known": len(g.states),
		}).Info("peer changed")
	}
}

// processOf returns the incarnation of the VM's process.
func processOf(m detector.Member) int64 { return int64(m.Incarnation >> refutationBits) }

// Rank returns the live VMs that may assign a group of endpoints in the region, in order of preference. They are at most
// maxRanked VMs of the region with at least half of the highest capacity there, or of all regions if the region has none.
func (g *Gossiper) Rank(group, region string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := group + "\x00" + region
	if ranked, ok := g.ranks[key]; ok {
		return ranked
	}
	vms := g.capable(region)
	if len(vms) == 0 {
		vms = g.capable("")
	}
	ranked := hasher.Rank("group "+group, vms)
	ranked = ranked[:min(len(ranked), maxRanked)]
	g.ranks[key] = ranked
	return ranked
}

// maxRanked is the number of VMs that Rank returns: the assigner and those that replace it.
const maxRanked = 4

// capable returns the live VMs of the region, or of all regions if it is empty, whose capacity is at least half of the highest;
// the lock is held.
func (g *Gossiper) capable(region string) []string {
	capacities := map[string]float64{}
	if !g.isLeaving.Load() && (region == "" || region == g.cfg.Region) {
		capacities[g.cfg.VM] = g.cfg.Capacity
	}
	for vm, m := range g.states {
		if isLive(m) && (region == "" || m.Region == region) {
			capacities[vm] = g.members[vm].row.Capacity
		}
	}
	highest := 0.0
	for _, c := range capacities {
		highest = max(highest, c)
	}
	var vms []string
	for vm, c := range capacities {
		if c >= highest/2 {
			vms = append(vms, vm)
		}
	}
	return vms
}

func isLive(m detector.Member) bool {
	return m.State == detector.Alive || m.State == detector.Suspect
}
