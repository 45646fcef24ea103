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
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// VMTable is the store's table of VMs, with the VM's name as key.
	VMTable = "vm"
	// heartbeatInterval is the time between reports when nothing changes. Four reports fit within SilenceTimeout, so that a VM
	// does not count as lost because of a few lost datagrams.
	heartbeatInterval = 300 * time.Millisecond
	// sameRegionBudget and otherRegionBudget limit the datagrams per second that a VM sends within its region and to other
	// regions. The latter is lower, since the link to them is narrow and their endpoints are the second choice.
	sameRegionBudget  = 600
	otherRegionBudget = 200
	// minReportGap is the shortest time between two reports, urgent ones included.
	minReportGap = 3 * time.Millisecond
	// SilenceTimeout is the age of the last report at which a VM counts as lost.
	SilenceTimeout = 1500 * time.Millisecond
	// partitionWindow is how long after its last report, or read of its row, a silent VM is assumed to be partitioned rather than
	// stopped.
	partitionWindow = 30 * time.Second
)

// Config identifies this VM.
type Config struct {
	VM          string
	Incarnation int64
	Address     netip.AddrPort
	Region      string
}

// vmRow is the value of a VM's row in the store.
type vmRow struct {
	Address     netip.AddrPort `json:"address"`
	Incarnation int64          `json:"incarnation"`
	Region      string         `json:"region"`
}

// Member is the state of another VM as known here.
type Member struct {
	VM          string
	Address     netip.AddrPort
	Incarnation int64
	// Region is empty until the VM's row is known.
	Region    string
	IsLeaving bool
	HasStore  bool
	// ReportedAt is the time of its last report; zero if there was none.
	ReportedAt time.Time
	// sequence is the number of its last report.
	sequence uint64
	// listedAt is when its row was last read from the store, at version.
	listedAt time.Time
	version  int64
}

// isReporting reports whether the VM's last report is younger than SilenceTimeout.
func (m *Member) isReporting(now time.Time) bool { return now.Sub(m.ReportedAt) < SilenceTimeout }

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
	// farSentAt is when the last report was sent to all other regions.
	farSentAt time.Time
	// isRegistered says that this VM's row was written; unlisted signals that it was deleted since.
	isRegistered atomic.Bool
	unlisted     chan struct{}
}

// New returns a gossiper that is not started.
func New(
	cfg Config, store storer.Table, b *balancer.Balancer, log logrus.FieldLogger,
) *Gossiper {
	g := &Gossiper{
		cfg: cfg, store: store, balancer: b, log: log, members: map[string]*Member{}, unlisted: make(chan struct{}, 1),
	}
	g.feed = watcher.NewFeed(store, VMTable, []string{""}, g.applyTable, log)
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

// Leave notifies the peers that this VM stops.
func (g *Gossiper) Leave() {
	g.isLeaving.Store(true)
	g.send(true, true)
}

// State is the membership state of one incarnation of a VM.
type State int

// The states of a VM: Live reports, Leaving reports that it stops, and Lost is silent or was replaced by a later incarnation.
const (
	Live State = iota
	Leaving
	Lost
)

// StateOf returns the state of a VM's incarnation. A VM without a recent report counts as live until SilenceTimeout has passed
// since this gossiper's start.
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
	case ok && m.isReporting(now) && m.IsLeaving:
		return Leaving
	case ok && m.isReporting(now):
		return Live
	case now.Sub(g.started) < SilenceTimeout:
		return Live
	default:
		return Lost
	}
}

// VMIncarnation is one incarnation of a VM.
type VMIncarnation struct {
	Name        string
	Incarnation int64
}

// Incarnation returns this VM's incarnation.
func (g *Gossiper) Incarnation() int64 { return g.cfg.Incarnation }

// LiveVMs returns the VMs that accept work: those that are live, this one included, and not leaving.
func (g *Gossiper) LiveVMs() []VMIncarnation {
	g.mu.Lock()
	defer g.mu.Unlock()
	var vms []VMIncarnation
	if !g.isLeaving.Load() {
		vms = append(vms, VMIncarnation{Name: g.cfg.VM, Incarnation: g.cfg.Incarnation})
	}
	now := time.Now()
	for _, m := range g.members {
		if m.isReporting(now) && !m.IsLeaving {
			vms = append(vms, VMIncarnation{Name: m.VM, Incarnation: m.Incarnation})
		}
	}
	return vms
}

// HasSilentVM reports whether a VM is silent but possibly only partitioned, so that it may still send requests to endpoints.
func (g *Gossiper) HasSilentVM() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, m := range g.members {
		lastObserved := m.ReportedAt
		if m.listedAt.After(lastObserved) {
			lastObserved = m.listedAt
		}
		if age := now.Sub(lastObserved); age >= SilenceTimeout && age < partitionWindow {
			return true
		}
	}
	return false
}

// Assign assigns key to one of the live VMs by rendezvous hashing, so that VMs with the same list choose the same one. It
// returns false if live is empty.
func Assign(key string, live []VMIncarnation) (VMIncarnation, bool) {
	best, found := VMIncarnation{}, false
	highest := uint64(0)
	for _, vm := range live {
		if h := xxhash.Sum64String(key + "\x00" + vm.Name); !found || h > highest {
			best, highest, found = vm, h, true
		}
	}
	return best, found
}

// VMCount returns the number of known VMs, this one included.
func (g *Gossiper) VMCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members) + 1
}

// HasStoreElsewhere reports whether another live VM reaches the store.
func (g *Gossiper) HasStoreElsewhere() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, m := range g.members {
		if m.HasStore && !m.IsLeaving && m.isReporting(now) {
			return true
		}
	}
	return false
}

// HasVMList reports whether the list of VMs has been read from the store, so that this VM and its peers exchange reports.
func (g *Gossiper) HasVMList() bool { return g.feed.Version() > 0 }

// AnyPeer returns the address of a random peer that reports, live or leaving, preferably in the same region; false if there is
// none.
func (g *Gossiper) AnyPeer() (netip.AddrPort, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var near, far []netip.AddrPort
	for _, m := range g.members {
		switch {
		case !m.isReporting(now):
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

// applyTable applies an update of the table of VMs, and signals if this VM's row is missing.
func (g *Gossiper) applyTable(u watcher.Update) {
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
		r := vmRow{}
		if err := json.Unmarshal(e.Value, &r); err != nil {
			g.log.WithError(err).WithField("vm", e.Key).Warn("row of VM can't be decoded; update ignored")
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
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.WithError(err).Warn("report could not be received from the socket")
			continue
		}
		m, err := decode(buf[:n])
		if err != nil {
			g.log.WithError(err).WithField("from", from.String()).Warn("datagram is not a valid report; dropped")
			continue
		}
		g.receive(m, from)
	}
}

// receive applies a report unless a newer one of the same VM was received.
func (g *Gossiper) receive(m message, from netip.AddrPort) {
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
	known.IsLeaving, known.HasStore, known.ReportedAt = m.IsLeaving, m.HasStore, now
	g.mu.Unlock()
	g.balancer.ReceiveReport(m.report())
}

func (g *Gossiper) runSend(ctx context.Context) {
	heartbeat := time.NewTimer(0)
	defer heartbeat.Stop()
	for {
		isUrgent, isHeartbeat := false, false
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			isHeartbeat = true
		case <-g.balancer.Changed():
			isUrgent = g.awaitBudget(ctx)
		case <-g.balancer.Urgent():
			isUrgent = true
		}
		g.send(isUrgent, isHeartbeat)
		heartbeat.Reset(heartbeatInterval)
		if !sleeper.Sleep(ctx, minReportGap) {
			return
		}
	}
}

// awaitBudget waits until the budget within the region allows another report. It returns true at once if an urgent one is due.
func (g *Gossiper) awaitBudget(ctx context.Context) bool {
	near, _ := g.reportGaps()
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

// reportGaps returns the least time between reports, within the region and to other regions, that keeps to the budgets.
func (g *Gossiper) reportGaps() (near, far time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, m := range g.members {
		if m.Region == g.cfg.Region {
			n++
		}
	}
	return time.Duration(n) * time.Second / sameRegionBudget, time.Duration(len(g.members)-n) * time.Second / otherRegionBudget
}

// send sends a report to the VMs of the region. VMs of other regions get it if the gap for them has passed, if it is a
// heartbeat, or if it is urgent and their batch items have to be preempted.
func (g *Gossiper) send(isUrgent, isHeartbeat bool) {
	report := g.balancer.Report()
	preempted := g.balancer.TakePreemptedVMs()
	_, far := g.reportGaps()
	g.mu.Lock()
	g.sequence++
	m := message{
		VM: g.cfg.VM, Incarnation: g.cfg.Incarnation, Sequence: g.sequence, IsLeaving: g.isLeaving.Load(),
		HasStore: !g.feed.IsLost(),
		Pending:  report.Pending, UrgencyMs: report.Urgency.Milliseconds(),
		Loads: loadMessages(report), Faults: faultMessages(report), Hidden: hiddenMessages(report),
	}
	now := time.Now()
	isFarDue := isHeartbeat || now.Sub(g.farSentAt) >= far
	if isFarDue {
		g.farSentAt = now
	}
	targets := make([]netip.AddrPort, 0, len(g.members))
	for name, member := range g.members {
		if member.Region == g.cfg.Region || isFarDue || (isUrgent && preempted[name]) {
			targets = append(targets, member.Address)
		}
	}
	g.mu.Unlock()
	b, err := encodeWithin(m, maxDatagramBytes)
	if err != nil {
		g.log.WithError(err).Error("report could not be encoded; not sent")
		return
	}
	for _, to := range targets {
		// A lost report needs no resend: the next one carries all counts again.
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
		faults = append(faults, faultMessage{Key: uint64(k), Tenths: uint16(min(f*tenthsPerFailure, math.MaxUint16))})
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
