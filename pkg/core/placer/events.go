package placer

import "time"

// Class says which kind of work a request is.
type Class int

// The classes of work.
const (
	Online Class = iota
	Batch
)

// Ticket names a request under way in later events.
type Ticket struct {
	key    Key
	class  Class
	id     uint64
	sent   time.Time
	first  time.Time
	isOver bool
}

// Start counts a request that is about to be sent to the endpoint.
func (p *Placer) Start(now time.Time, endpoint string, class Class, id uint64) *Ticket {
	t := &Ticket{key: KeyOf(endpoint), class: class, id: id, sent: now}
	l := p.view.ownAt(t.key)
	if class == Online {
		l.Online++
	} else {
		l.Batch++
	}
	c := p.conditionOf(t.key)
	c.silent[id] = now
	if class == Batch {
		c.starts = append(c.starts, now)
	}
	p.noteFull(now, t.key)
	return t
}

// noteFull remembers that all slots of an endpoint are taken.
func (p *Placer) noteFull(now time.Time, k Key) {
	c, ok := p.conditions[k]
	if !ok || c.slots == 0 {
		return
	}
	sum := p.loadAt(now, k).sum()
	if sum >= c.slots {
		c.fullAt = now
	}
	if sum > c.slots {
		c.overfullAt = now
	}
}

// FirstByte notes that the request's answer has begun.
func (p *Placer) FirstByte(now time.Time, t *Ticket, wasQueued bool) {
	if !t.first.IsZero() {
		return
	}
	t.first = now
	c := p.conditionOf(t.key)
	delete(c.silent, t.id)
	c.succeed()
	if !wasQueued && t.class == Online {
		c.first = smooth(c.first, now.Sub(t.sent))
	}
}

// Ending says how a request at an endpoint ended.
type Ending int

// The endings of a request at an endpoint.
const (
	// EndedWhole is a whole answer.
	EndedWhole Ending = iota
	// EndedHere means that this VM or its caller broke off.
	EndedHere
	// EndedFull means that the endpoint refused for want of room.
	EndedFull
	// EndedBroken means that the endpoint could not be reached, broke off or answered nonsense.
	EndedBroken
)

// End takes the request out of the counts.
func (p *Placer) End(now time.Time, t *Ticket, how Ending) {
	if t.isOver {
		return
	}
	t.isOver = true
	p.noteFull(now, t.key)
	l := p.view.ownAt(t.key)
	if t.class == Online {
		l.Online--
	} else {
		l.Batch--
	}
	if l.sum() == 0 {
		delete(p.view.own, t.key)
	}
	c := p.conditionOf(t.key)
	delete(c.silent, t.id)
	switch how {
	case EndedWhole:
		if t.class == Online && !t.first.IsZero() {
			c.hold = smooth(c.hold, now.Sub(t.sent))
		}
	case EndedFull, EndedBroken:
		c.fail(now)
	case EndedHere:
	}
}

// Hear takes in a peer's report.
func (p *Placer) Hear(now time.Time, r Report) {
	if old, ok := p.view.peers[r.VM]; ok {
		for k := range old.report.Loads {
			p.noteFull(now, k)
		}
	}
	p.view.hear(now, r)
	for k, n := range r.Hidden {
		c := p.conditionOf(k)
		c.hidden, c.hiddenAt, c.isInspector = n, now, false
	}
	for k := range r.Loads {
		p.noteFull(now, k)
	}
}

// loadAt returns the counts of all VMs at the endpoint, and as online those that only the engine knows of.
func (p *Placer) loadAt(now time.Time, k Key) Load {
	load := p.view.at(now, k)
	if c, ok := p.conditions[k]; ok && now.Sub(c.hiddenAt) < hiddenFor {
		load.Online += c.hidden
	}
	return load
}

// HearEngine takes in how many requests an engine has in all.
func (p *Placer) HearEngine(now time.Time, k Key, requests int) {
	c := p.conditionOf(k)
	c.hidden, c.hiddenAt = max(requests-p.view.at(now, k).sum()-hiddenSlack, 0), now
	c.isInspector = true
}

// Hidden returns the hidden requests that this VM found.
func (p *Placer) Hidden(now time.Time) map[Key]int {
	hidden := map[Key]int{}
	for k, c := range p.conditions {
		if c.isInspector && c.hidden > 0 && now.Sub(c.hiddenAt) < hiddenFor {
			hidden[k] = c.hidden
		}
	}
	return hidden
}

// Faults returns the recent failures that this VM saw, by endpoint.
func (p *Placer) Faults(now time.Time) map[Key]float64 {
	faults := map[Key]float64{}
	for k, c := range p.conditions {
		if f := c.recentFaults(now); f >= leastFault {
			faults[k] = f
		}
	}
	return faults
}

// BatchHolders returns the peers that run batch items at the endpoint.
func (p *Placer) BatchHolders(k Key) []string {
	var vms []string
	for vm, peer := range p.view.peers {
		if peer.report.Loads[k].Batch > 0 {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Own returns a copy of this VM's counts.
func (p *Placer) Own() map[Key]Load {
	own := make(map[Key]Load, len(p.view.own))
	for k, l := range p.view.own {
		own[k] = *l
	}
	return own
}

// Retain drops what is known of endpoints that are gone.
func (p *Placer) Retain(known map[Key]bool) {
	for k := range p.conditions {
		if _, isBusy := p.view.own[k]; !known[k] && !isBusy {
			delete(p.conditions, k)
		}
	}
}
