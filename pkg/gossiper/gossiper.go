package gossiper

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// VMTable lists the VMs, each under its name.
	VMTable = "vm"
	// heartbeat is how often a VM reports when nothing changes: four reports within the silence that peers bear.
	heartbeat = 300 * time.Millisecond
	// nearBudget and farBudget are how many datagrams a second a VM may send within its region and to other regions,
	// whose link is narrow and whose endpoints are the second choice.
	nearBudget = 600
	farBudget  = 200
	// urgentGap is the shortest time between urgent reports.
	urgentGap = 3 * time.Millisecond
	// Silence is the age of the last report at which a VM counts as lost.
	Silence = 1500 * time.Millisecond
	// partialFor is how long a VM that fell silent is taken to be cut off rather than gone.
	partialFor = 30 * time.Second
)

// Config is who this VM is.
type Config struct {
	VM          string
	Incarnation int64
	Address     netip.AddrPort
	Region      string
}

// record is a VM's row in the store.
type record struct {
	Address     netip.AddrPort `json:"address"`
	Incarnation int64          `json:"incarnation"`
	Region      string         `json:"region"`
}

// Member is what is known of another VM.
type Member struct {
	VM          string
	Address     netip.AddrPort
	Incarnation int64
	// Region is empty until the VM's row is known.
	Region    string
	IsLeaving bool
	HasStore  bool
	// HeardAt is the time of its last report; zero when there was none.
	HeardAt  time.Time
	sequence uint64
	// listedAt is when its row was read, at version.
	listedAt time.Time
	version  int64
}

// isHeard says whether the VM reported lately.
func (m *Member) isHeard(now time.Time) bool { return now.Sub(m.HeardAt) < Silence }

// Gossiper exchanges reports with the other VMs.
type Gossiper struct {
	cfg      Config
	store    storer.Table
	balancer *balancer.Balancer
	feed     *watcher.Feed
	conn     *net.UDPConn
	log      logrus.FieldLogger

	mu        sync.Mutex
	members   map[string]*Member
	isLeaving atomic.Bool
	sequence  uint64
	started   time.Time
	// farSentAt is when other regions were last told.
	farSentAt time.Time
	// isRegistered says that the own row was written; unlisted tells that it was dropped since.
	isRegistered atomic.Bool
	unlisted     chan struct{}
}

// New returns a gossiper.
func New(
	cfg Config, store storer.Table, b *balancer.Balancer, log logrus.FieldLogger,
) *Gossiper {
	g := &Gossiper{
		cfg: cfg, store: store, balancer: b, log: log, members: map[string]*Member{}, unlisted: make(chan struct{}, 1),
	}
	g.feed = watcher.NewFeed(store, VMTable, []string{""}, g.hearTable, log)
	return g
}

// Start listens, registers this VM and exchanges reports until ctx ends.
func (g *Gossiper) Start(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(g.cfg.Address))
	if err != nil {
		return errors.Wrap(err, "listen for reports")
	}
	g.conn = conn
	g.started = time.Now()
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go g.runRegister(ctx)
	g.feed.Start(ctx)
	go g.runReceive()
	go g.runSend(ctx)
	go g.runForget(ctx)
	return nil
}

// Leave tells the peers that this VM stops.
func (g *Gossiper) Leave() {
	g.isLeaving.Store(true)
	g.send(true, true)
}

// State says whether a VM's incarnation can be counted on.
type State int

// The states of a VM.
const (
	Live State = iota
	Leaving
	Lost
)

// StateOf returns the state of a VM in the incarnation; unknown VMs count as live until Silence after the start.
func (g *Gossiper) StateOf(vm string, incarnation int64) State {
	if vm == g.cfg.VM {
		switch {
		case incarnation != g.cfg.Incarnation:
			return Lost
		case g.isLeaving.Load():
			return Leaving
		default:
			return Live
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[vm]
	now := time.Now()
	switch {
	case ok && m.Incarnation > incarnation:
		return Lost
	case ok && m.isHeard(now) && m.IsLeaving:
		return Leaving
	case ok && m.isHeard(now):
		return Live
	case now.Sub(g.started) < Silence:
		return Live
	default:
		return Lost
	}
}

// VM is one incarnation of a VM.
type VM struct {
	Name        string
	Incarnation int64
}

// Incarnation returns that of this VM.
func (g *Gossiper) Incarnation() int64 { return g.cfg.Incarnation }

// LiveVMs returns the VMs that take work, this one included unless it leaves.
func (g *Gossiper) LiveVMs() []VM {
	g.mu.Lock()
	defer g.mu.Unlock()
	var vms []VM
	if !g.isLeaving.Load() {
		vms = append(vms, VM{Name: g.cfg.VM, Incarnation: g.cfg.Incarnation})
	}
	now := time.Now()
	for _, m := range g.members {
		if m.isHeard(now) && !m.IsLeaving {
			vms = append(vms, VM{Name: m.VM, Incarnation: m.Incarnation})
		}
	}
	return vms
}

// IsPartial says whether a VM is silent that may still send requests to endpoints.
func (g *Gossiper) IsPartial() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, m := range g.members {
		seen := m.HeardAt
		if m.listedAt.After(seen) {
			seen = m.listedAt
		}
		if age := now.Sub(seen); age >= Silence && age < partialFor {
			return true
		}
	}
	return false
}

// Choose returns the VM that a matter falls to, by the highest hash, so that all VMs name the same one.
func Choose(matter string, live []VM) (VM, bool) {
	best, found := VM{}, false
	high := uint64(0)
	for _, vm := range live {
		if h := xxhash.Sum64String(matter + "\x00" + vm.Name); !found || h > high {
			best, high, found = vm, h, true
		}
	}
	return best, found
}

// Size returns how many VMs are listed, this one included.
func (g *Gossiper) Size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members) + 1
}

// HasStoreElsewhere says whether another live VM reaches the store.
func (g *Gossiper) HasStoreElsewhere() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, m := range g.members {
		if m.HasStore && !m.IsLeaving && m.isHeard(now) {
			return true
		}
	}
	return false
}

// IsListed says whether the list of VMs was read once, so that reports reach peers and come from them.
func (g *Gossiper) IsListed() bool { return g.feed.Version() > 0 }

// AnyPeer returns the address of a live VM, one of the own region first.
func (g *Gossiper) AnyPeer() (netip.AddrPort, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var near, far []netip.AddrPort
	for _, m := range g.members {
		switch {
		case !m.isHeard(now):
		case m.Region == g.cfg.Region:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return netip.AddrPort{}, false
	}
	return near[rand.IntN(len(near))], true
}

func (g *Gossiper) hearTable(u watcher.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	isListed := !u.IsFull
	for _, e := range u.Entries {
		if e.Key == g.cfg.VM {
			isListed = !e.IsRemoved
			continue
		}
		if e.IsRemoved {
			delete(g.members, e.Key)
			continue
		}
		r := record{}
		if err := json.Unmarshal(e.Value, &r); err != nil {
			g.log.WithError(err).WithField("vm", e.Key).Warn("VM's row can't be read")
			continue
		}
		m, ok := g.members[e.Key]
		if !ok {
			m = &Member{VM: e.Key}
			g.members[e.Key] = m
		}
		if r.Incarnation >= m.Incarnation {
			m.Address, m.Incarnation, m.Region, m.listedAt, m.version = r.Address, r.Incarnation, r.Region, now, e.Version
		}
	}
	if !isListed && g.isRegistered.Load() {
		select {
		case g.unlisted <- struct{}{}:
		default:
		}
	}
}

func (g *Gossiper) runReceive() {
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.WithError(err).Warn("report not received")
			continue
		}
		m, err := decode(buf[:n])
		if err != nil {
			g.log.WithError(err).WithField("from", from.String()).Warn("report can't be read")
			continue
		}
		g.hear(m, from)
	}
}

func (g *Gossiper) hear(m message, from netip.AddrPort) {
	if m.VM == g.cfg.VM {
		return
	}
	g.mu.Lock()
	known, ok := g.members[m.VM]
	if !ok {
		known = &Member{VM: m.VM, Address: netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}
		g.members[m.VM] = known
	}
	if m.Incarnation < known.Incarnation || (m.Incarnation == known.Incarnation && m.Sequence <= known.sequence) {
		g.mu.Unlock()
		return
	}
	now := time.Now()
	known.Incarnation, known.sequence = m.Incarnation, m.Sequence
	known.IsLeaving, known.HasStore, known.HeardAt = m.IsLeaving, m.HasStore, now
	g.mu.Unlock()
	g.balancer.Hear(m.report())
}

func (g *Gossiper) runSend(ctx context.Context) {
	beat := time.NewTimer(0)
	defer beat.Stop()
	for {
		isUrgent, isBeat := false, false
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			isBeat = true
		case <-g.balancer.Changed():
			isUrgent = g.pause(ctx)
		case <-g.balancer.Urgent():
			isUrgent = true
		}
		g.send(isUrgent, isBeat)
		beat.Reset(heartbeat)
		if !pauser.Pause(ctx, urgentGap) {
			return
		}
	}
}

// pause spaces reports so that the budget holds, and says whether an urgent one came up.
func (g *Gossiper) pause(ctx context.Context) bool {
	near, _ := g.gaps()
	t := time.NewTimer(near)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.balancer.Urgent():
		return true
	}
	return false
}

// gaps returns the least time between reports within the region and to others.
func (g *Gossiper) gaps() (near, far time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, m := range g.members {
		if m.Region == g.cfg.Region {
			n++
		}
	}
	return time.Duration(n) * time.Second / nearBudget, time.Duration(len(g.members)-n) * time.Second / farBudget
}

// send tells the VMs of the region, and those of others when it is their turn or their batch has to yield.
func (g *Gossiper) send(isUrgent, isBeat bool) {
	report := g.balancer.Report()
	yielders := g.balancer.TakeYielders()
	_, far := g.gaps()
	g.mu.Lock()
	g.sequence++
	m := message{
		VM: g.cfg.VM, Incarnation: g.cfg.Incarnation, Sequence: g.sequence, IsLeaving: g.isLeaving.Load(),
		HasStore: !g.feed.IsLost(),
		Pending:  report.Pending, UrgencyMs: report.Urgency.Milliseconds(),
		Loads: loadMessages(report), Faults: faultMessages(report), Hidden: hiddenMessages(report),
	}
	now := time.Now()
	isFarDue := isBeat || now.Sub(g.farSentAt) >= far
	if isFarDue {
		g.farSentAt = now
	}
	targets := make([]netip.AddrPort, 0, len(g.members))
	for name, member := range g.members {
		if member.Region == g.cfg.Region || isFarDue || (isUrgent && yielders[name]) {
			targets = append(targets, member.Address)
		}
	}
	g.mu.Unlock()
	b, err := encodeWithin(m, maxDatagram)
	if err != nil {
		g.log.WithError(err).Error("report not sent")
		return
	}
	for _, to := range targets {
		// A lost report is made good by the next one.
		_, _ = g.conn.WriteToUDPAddrPort(b, to)
	}
}

func hiddenMessages(r placer.Report) []hiddenMessage {
	hidden := make([]hiddenMessage, 0, len(r.Hidden))
	for k, n := range r.Hidden {
		hidden = append(hidden, hiddenMessage{Key: uint64(k), Requests: uint16(min(n, math.MaxUint16))})
	}
	return hidden
}

func faultMessages(r placer.Report) []faultMessage {
	faults := make([]faultMessage, 0, len(r.Faults))
	for k, f := range r.Faults {
		faults = append(faults, faultMessage{Key: uint64(k), Tenths: uint16(min(f*faultScale, math.MaxUint16))})
	}
	return faults
}

func loadMessages(r placer.Report) []loadMessage {
	loads := make([]loadMessage, 0, len(r.Loads))
	for k, l := range r.Loads {
		loads = append(loads, loadMessage{Key: uint64(k), Online: uint16(l.Online), Batch: uint16(l.Batch)})
	}
	return loads
}
