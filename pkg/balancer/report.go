package balancer

import (
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/assigner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	// reportInterval is the time between reports when nothing changes. Four of them fit within the time after which an assigner
	// drops a VM's counts, so that a few lost datagrams change nothing.
	reportInterval = 300 * time.Millisecond
	// minReportGap is the shortest time between two rounds of reports.
	minReportGap = 4 * time.Millisecond
	// hostInterval is the time between two checks for expired orders and free slots at the assigners that this VM hosts.
	hostInterval = 20 * time.Millisecond
	// slowObjective is the objective by which an endpoint without a first byte is reported as slow.
	slowObjective = 300 * time.Millisecond
	// maxWaiting bounds the waiting batch items that a report names.
	maxWaiting = 32
)

// maxOrdersPerMessage keeps the message within maxMessageBytes.
const maxOrdersPerMessage = 24

// Counters count the messages to and from assigners.
type Counters struct {
	// Reports and Orders are messages sent; Unanswered counts questions without a reply, Alone requests placed without one.
	Reports, Orders, Unanswered, Alone atomic.Int64
	// Ignored counts repeated orders and those of former assigners.
	Ignored atomic.Int64
	// Malformed counts received messages that can't be decoded or are about unknown groups.
	Malformed atomic.Int64
	// Held counts the times that a retry waited at this VM for a slot.
	Held atomic.Int64
	// Lowered counts questions to assigners of this VM that others had precedence of, by their accounts or priorities.
	Lowered atomic.Int64
	// Limited counts answers in which an endpoint named a rate limit.
	Limited atomic.Int64
}

func (b *Balancer) runReport(ctx context.Context) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		isHeartbeat := false
		select {
		case <-ctx.Done():
			return
		case <-b.changed:
		case <-timer.C:
			isHeartbeat = true
			timer.Reset(reportInterval)
		}
		b.reportAll(time.Now(), isHeartbeat)
		if !sleeper.Sleep(ctx, minReportGap) {
			return
		}
	}
}

// reportAll reports on the groups with changes; a heartbeat reports on all groups with requests, and where the assigner is new.
func (b *Balancer) reportAll(now time.Time, isHeartbeat bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireOffers(now)
	for _, g := range b.byGroup {
		if isHeartbeat && g.isReported {
			g.isDirty = true
		}
		if g.isDirty {
			b.targetOf(now, g)
			b.report(now, g, nil)
		}
	}
}

// targetOf returns the VM that assigns the group; the lock is held.
func (b *Balancer) targetOf(now time.Time, g *group) string {
	former := g.target
	target, isNew := g.chooseTarget(now, b.network.Rank(g.Name, g.Region))
	if target == "" {
		target = b.cfg.VM
		g.target = target
	}
	if isNew && former != "" {
		b.log.WithFields(logrus.Fields{"group": g.Name, "from": former, "to": target}).Info("assigner of the group changed")
	}
	if isNew {
		b.resendLimits(g)
		g.isDirty = true
		notify(b.changed)
	}
	return target
}

// report sends this VM's counts at the group's endpoints to the assigner, with a question if there is one; the lock is held.
func (b *Balancer) report(now time.Time, g *group, question *assigner.Asked) {
	b.settleDoubts(now)
	b.sequence++
	in := assigner.Reported{
		VM: b.cfg.VM, AvailabilityZone: b.cfg.Topology.AvailabilityZone, Incarnation: b.cfg.Incarnation, Sequence: b.sequence,
		Acknowledged: g.acknowledged, Report: b.reportOf(now, g), Observations: g.observations, Engines: g.engines,
	}
	g.observations, g.engines, g.isDirty = nil, map[placer.Key]int{}, false
	b.sendLimits(now, g)
	g.isReported = len(in.Report.Loads) > 0 || len(in.Report.Waiting) > 0 || len(in.Report.Faults) > 0
	if g.target == b.cfg.VM {
		b.handle(now, g, in)
		if question != nil {
			b.handle(now, g, *question)
		}
		return
	}
	payload, err := encodeReport(g.key, in, question)
	if err != nil {
		b.log.WithError(err).WithField("group", g.Name).Error("report could not be encoded; not sent")
		return
	}
	b.Counters.Reports.Add(1)
	b.network.Send(g.target, payload)
}

// reportOf returns this VM's counts at the group's endpoints; the lock is held.
func (b *Balancer) reportOf(now time.Time, g *group) placer.Report {
	r := placer.Report{VM: b.cfg.VM, Loads: map[placer.Key]placer.Load{}, Faults: map[placer.Key]float64{}}
	for k, l := range b.placer.Own() {
		if _, ok := g.endpoints[k]; ok {
			r.Loads[k] = placer.Load{Online: l.Online, Batch: max(l.Batch-b.preempt[k], 0)}
		}
	}
	if !b.isInDoubt() {
		b.reportFaults(now, g, &r)
	}
	waiting, bound := b.waiting[g.Service], b.bound[g.Service]
	for i := len(b.offers[g.Service]); i < len(waiting) && len(r.Waiting) < maxWaiting; i++ {
		r.Waiting = append(r.Waiting, waiting[i].Sub(now))
		if i < len(bound) {
			r.Bound = append(r.Bound, bound[i])
		}
	}
	return r
}

// reportFaults adds the failures and the slow endpoints that this VM has observed; the lock is held.
func (b *Balancer) reportFaults(now time.Time, g *group, r *placer.Report) {
	for k, f := range b.placer.Faults(now) {
		if _, ok := g.endpoints[k]; ok {
			r.Faults[k] = f
		}
	}
	for _, k := range b.placer.Slow(now, slowObjective) {
		if _, ok := g.endpoints[k]; ok {
			r.Slow = append(r.Slow, k)
		}
	}
}

// runHost wakes the assigners that this VM hosts, while VMs use any of them.
func (b *Balancer) runHost(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.hosting:
		}
		for b.wakeHosts(time.Now()) {
			if !sleeper.Sleep(ctx, hostInterval) {
				return
			}
		}
	}
}

// wakeHosts wakes the assigners that are in use and reports whether there is one.
func (b *Balancer) wakeHosts(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	isInUse := false
	for _, g := range b.byGroup {
		if g.host != nil && !g.host.IsIdle() {
			isInUse = true
			b.handle(now, g, assigner.Woken{})
		}
	}
	return isInUse
}

// handle passes an input to the group's assigner on this VM and carries out what it requests; the lock is held.
func (b *Balancer) handle(now time.Time, g *group, in assigner.Input) {
	if g.host == nil {
		g.host = assigner.New(b.cfg.Topology.Regions, b.random, uint64(now.UnixMicro()))
		g.host.Omit(b.cfg.Omitted)
		g.host.Handle(now, assigner.Configured{Endpoints: g.Endpoints})
		g.host.Handle(now, assigner.RateLimitsNamed{Limits: b.limitsOf(g)})
	}
	notify(b.hosting)
	byVM := map[string][]assigner.Output{}
	lowered := g.host.Lowered()
	outputs := g.host.Handle(now, in)
	b.Counters.Lowered.Add(g.host.Lowered() - lowered)
	for _, out := range outputs {
		vm := out.Recipient()
		if l, ok := out.(assigner.RateLimitNotified); ok {
			b.notifyLimit(now, g, l)
			continue
		}
		if vm == b.cfg.VM {
			b.receive(now, g, vm, out)
			continue
		}
		byVM[vm] = append(byVM[vm], out)
	}
	for vm, outputs := range byVM {
		for part := range slices.Chunk(outputs, maxOrdersPerMessage) {
			b.sendOrders(g, vm, part)
		}
	}
}

func (b *Balancer) sendOrders(g *group, vm string, outputs []assigner.Output) {
	payload, err := encodeOrders(g.key, b.cfg.VM, outputs)
	if err != nil {
		b.log.WithError(err).WithField("group", g.Name).Error("orders could not be encoded; not sent")
		return
	}
	b.Counters.Orders.Add(1)
	b.network.Send(vm, payload)
}

// receive carries out an order of the group's assigner; the lock is held.
//
// Offers and preemptions of a VM that this VM does not report to are ignored, as are repeated ones: a former assigner may act on
// for a while, without this VM's counts. A reply is carried out if its question still waits.
func (b *Balancer) receive(now time.Time, g *group, from string, out assigner.Output) {
	number := out.Number()
	if _, isReply := out.(assigner.Placed); !isReply && (from != g.target || number <= g.acknowledged) {
		b.Counters.Ignored.Add(1)
		return
	}
	switch out := out.(type) {
	case assigner.Placed:
		b.receivePlacement(now, from, out)
	case assigner.BatchOffered:
		if len(b.offers[g.Service]) >= len(b.waiting[g.Service]) {
			// Another group was faster. The next report declines the offer: it acknowledges the order without a request.
			break
		}
		t := b.start(now, out.Endpoint, placer.Batch)
		b.offers[g.Service] = append(b.offers[g.Service], offer{endpoint: out.Endpoint, ticket: t, at: now})
		notify(b.slotsChanged)
	case assigner.PreemptionOrdered:
		b.receivePreemption(now, g, out)
	}
	if from == g.target && number > g.acknowledged {
		g.acknowledged = number
		g.isDirty = true
		notify(b.changed)
	}
}

// receivePreemption gives up offers at the endpoint that no item has taken, and has items stopped for the rest; the lock is held.
func (b *Balancer) receivePreemption(now time.Time, g *group, out assigner.PreemptionOrdered) {
	left := out.Items
	kept := []offer{}
	for _, o := range b.offers[g.Service] {
		if left > 0 && o.ticket.Key() == out.Key {
			left--
			b.end(now, o.ticket, placer.EndedLocally)
			continue
		}
		kept = append(kept, o)
	}
	b.offers[g.Service] = kept
	running := 0
	if l, ok := b.placer.Own()[out.Key]; ok {
		running = l.Batch
	}
	if n := min(b.preempt[out.Key]+left, running); n > 0 {
		b.preempt[out.Key] = n
		notify(b.slotsChanged)
	}
}

// Receive handles a message of another VM's balancer; malformed ones are counted and dropped.
func (b *Balancer) Receive(payload []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	m, err := decode(payload)
	if err != nil {
		b.Counters.Malformed.Add(1)
		return
	}
	switch m := m.(type) {
	case reportMessage:
		b.receiveReport(now, m, m)
	case softwareReportMessage:
		b.receiveReport(now, m.Report, m)
	case limitsMessage:
		b.receiveLimits(now, m)
	case ordersMessage:
		g, ok := b.byGroup[assigner.GroupKey(m.Group)]
		if !ok {
			b.Counters.Malformed.Add(1)
			return
		}
		for _, o := range m.Orders {
			if out, ok := o.output(b.cfg.VM, g.endpoints); ok {
				b.receive(now, g, m.VM, out)
			}
		}
	}
}

// reportSource is a message that holds a report, and perhaps a question.
type reportSource interface {
	reported() assigner.Reported
	asked() (assigner.Asked, bool)
}

// receiveReport handles a report with the header m; the lock is held.
func (b *Balancer) receiveReport(now time.Time, m reportMessage, source reportSource) {
	g, ok := b.byGroup[assigner.GroupKey(m.Group)]
	if !ok || m.VM == b.cfg.VM {
		// The sender gets no reply and decides alone, until both know the same endpoints.
		b.Counters.Malformed.Add(1)
		return
	}
	b.handle(now, g, source.reported())
	if question, ok := source.asked(); ok {
		b.handle(now, g, question)
	}
}

// clampCount returns n within the range of a count in a message.
func clampCount(n int) uint16 { return uint16(max(0, min(n, math.MaxUint16))) }
