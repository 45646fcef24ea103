package balancer

import (
	"context"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/assigner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	// nearReplyTimeout and farReplyTimeout bound the wait for an assigner's reply, within the region and from another one: several
	// round trips, and little against the objectives of online requests.
	nearReplyTimeout = 30 * time.Millisecond
	farReplyTimeout  = 100 * time.Millisecond
	// maxGroupsAsked bounds the groups that are asked for one request.
	maxGroupsAsked = 4
	// acceptShare is the share of the objective up to which an estimate is accepted without asking another group.
	acceptShare = 0.5
)

// ask is a question to another VM that waits for its reply.
type ask struct {
	group  *group
	number uint64
	// target is the VM that the question was sent to, at sentAt.
	target string
	sentAt time.Time
	// timeout bounds the wait for the reply.
	timeout time.Duration
	// reply receives the placement; it has room for it, so that the receiver never waits.
	reply chan placement
}

// placement is a decision with the ticket of the request counted for it; the ticket is nil if the decision is a refusal.
type placement struct {
	decision placer.Decision
	ticket   *placer.Ticket
}

// Place chooses an endpoint for an online request and counts the request there, or refuses it; the ticket is nil then.
//
// It keeps a retry that may wait, and asks again until there is a slot.
func (b *Balancer) Place(ctx context.Context, r placer.Request) (placer.Decision, *placer.Ticket) {
	began, left, waited := time.Now(), r.Left, r.Waited
	for {
		d, ticket := b.placeOnce(ctx, r)
		refused, isRefused := d.(placer.Refuse)
		if !isRefused || !refused.MayWait {
			return d, ticket
		}
		b.Counters.Held.Add(1)
		if !sleeper.Sleep(ctx, placer.HoldInterval) {
			return d, nil
		}
		held := time.Since(began)
		r.Left, r.Waited = left-held, waited+held
	}
}

// placeOnce asks the assigners of the service's groups, those in this VM's region first, and decides alone if none replies.
func (b *Balancer) placeOnce(ctx context.Context, r placer.Request) (placer.Decision, *placer.Ticket) {
	r.AvailabilityZone = b.cfg.Topology.AvailabilityZone
	if r.Account == "" && !b.isRanked(r) {
		r.Priority = 0
	}
	best := placement{}
	refused := placer.Refuse{Reason: "no endpoint is usable"}
	hasReply := false
	for _, g := range b.groupsFor(r) {
		p, ok := b.placeIn(ctx, g, r)
		if !ok {
			continue
		}
		hasReply = true
		switch d := p.decision.(type) {
		case placer.Refuse:
			if refused.RetryAfter == 0 && !refused.MayWait {
				refused = d
			}
		case placer.Send:
			best = b.better(best, p)
			if d.Estimate <= time.Duration(acceptShare*float64(r.Route.Objective)) {
				return best.decision, best.ticket
			}
		}
	}
	switch {
	case best.ticket != nil:
		return best.decision, best.ticket
	case hasReply:
		return refused, nil
	default:
		return b.placeAlone(r)
	}
}

// isRanked reports whether requests of the same service differ in priority, so that it matters.
func (b *Balancer) isRanked(r placer.Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(r.Candidates) > 0 && b.ranked[r.Candidates[0].Service]
}

// better returns the placement with the lower estimate and gives up the other one.
func (b *Balancer) better(old, other placement) placement {
	if old.ticket == nil {
		return other
	}
	if other.decision.(placer.Send).Estimate < old.decision.(placer.Send).Estimate {
		old, other = other, old
	}
	b.End(other.ticket, placer.EndedLocally)
	return old
}

// groupsFor returns the groups to ask for the request: those of this VM's region in random order, then the others.
func (b *Balancer) groupsFor(r placer.Request) []*group {
	if len(r.Candidates) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var near, far []*group
	for _, g := range b.groups[r.Candidates[0].Service] {
		if _, isBound := r.Software.Get(); isBound && !g.hasAny(r.Candidates) {
			continue
		}
		if b.isNear(g) {
			near = append(near, g)
		} else {
			far = append(far, g)
		}
	}
	for _, list := range [][]*group{near, far} {
		b.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	near = near[:min(len(near), maxGroupsAsked/2)]
	far = far[:min(len(far), maxGroupsAsked/2)]
	return append(near, far...)
}

// isNear reports whether the group is in this VM's region; the lock is held.
func (b *Balancer) isNear(g *group) bool {
	return g.Region == b.cfg.Topology.Regions[b.cfg.Topology.AvailabilityZone]
}

// placeIn asks the group's assigner, and once more if it chose an endpoint that this VM knows to be unusable. It returns false
// if there was no reply.
func (b *Balancer) placeIn(ctx context.Context, g *group, r placer.Request) (placement, bool) {
	excluded := b.excluded(g, r)
	r.Connected = b.connected(g, r)
	for range 2 {
		p, ok := b.ask(ctx, g, r, excluded)
		if !ok {
			return p, false
		}
		s, isSend := p.decision.(placer.Send)
		if !isSend || isCandidate(r, s.Endpoint) {
			return p, true
		}
		b.End(p.ticket, placer.EndedLocally)
		excluded = append(excluded, placer.KeyOf(s.Endpoint.ID))
	}
	return placement{}, false
}

func isCandidate(r placer.Request, e registrar.Endpoint) bool {
	for _, c := range r.Candidates {
		if c.ID == e.ID {
			return true
		}
	}
	return false
}

// excluded returns the endpoints of the group to which the request must not be sent.
func (b *Balancer) excluded(g *group, r placer.Request) []placer.Key {
	b.mu.Lock()
	defer b.mu.Unlock()
	var keys []placer.Key
	for id := range r.Tried {
		if _, ok := g.endpoints[placer.KeyOf(id)]; ok {
			keys = append(keys, placer.KeyOf(id))
		}
	}
	return keys
}

// connected returns the endpoints of the group to which this VM has an idle connection.
func (b *Balancer) connected(g *group, r placer.Request) map[placer.Key]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	connected := map[placer.Key]bool{}
	for k := range r.Connected {
		if _, ok := g.endpoints[k]; ok {
			connected[k] = true
		}
	}
	return connected
}

// ask asks the group's assigner for an endpoint; it returns false if there was no reply in time.
func (b *Balancer) ask(ctx context.Context, g *group, r placer.Request, excluded []placer.Key) (placement, bool) {
	q := b.sendAsk(g, r, excluded)
	timer := time.NewTimer(q.timeout)
	defer timer.Stop()
	select {
	case p := <-q.reply:
		return p, true
	case <-timer.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case p := <-q.reply:
		return p, true
	default:
	}
	delete(b.asks, q.number)
	if ctx.Err() == nil {
		b.Counters.Unanswered.Add(1)
		g.recordReply(q.sentAt, q.target, false)
	}
	return placement{}, false
}

// sendAsk sends a question to the group's assigner.
func (b *Balancer) sendAsk(g *group, r placer.Request, excluded []placer.Key) *ask {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.nextID++
	q := &ask{
		group: g, number: b.nextID, target: b.targetOf(now, g), sentAt: now, timeout: b.nearTimeout,
		reply: make(chan placement, 1),
	}
	if !b.isNear(g) {
		q.timeout = b.farTimeout
	}
	b.asks[q.number] = q
	b.report(now, g, &assigner.Asked{VM: b.cfg.VM, Number: q.number, Request: r, Excluded: excluded})
	return q
}

// placeAlone decides by this VM's own counts: it spreads requests over the endpoints until an assigner replies again.
func (b *Balancer) placeAlone(r placer.Request) (placer.Decision, *placer.Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.Counters.Alone.Add(1)
	r.Tried = b.withLimited(now, r)
	d := b.placer.Place(now, r)
	s, ok := d.(placer.Send)
	if !ok {
		return d, nil
	}
	return d, b.start(now, s.Endpoint, placer.Online)
}

// receivePlacement gives the reply to the request that waits for it. The request is counted here, before the reply is
// acknowledged, so that no report leaves it out. The lock is held.
func (b *Balancer) receivePlacement(now time.Time, from string, in assigner.Placed) {
	q, ok := b.asks[in.Question]
	if !ok {
		return
	}
	delete(b.asks, in.Question)
	q.group.recordReply(now, from, true)
	p := placement{decision: in.Decision}
	if s, isSend := in.Decision.(placer.Send); isSend {
		p.ticket = b.start(now, s.Endpoint, placer.Online)
	}
	q.reply <- p
}
