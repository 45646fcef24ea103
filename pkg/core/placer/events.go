package placer

import "time"

// Class is the class of work of a request.
type Class int

// The classes of work.
const (
	Online Class = iota
	Batch
)

// Ticket identifies a request in flight in later events.
type Ticket struct {
	key         Key
	class       Class
	id          uint64
	sentAt      time.Time
	firstByteAt time.Time
	hasEnded    bool
}

// Start counts a request that is about to be sent to the endpoint.
func (p *Placer) Start(now time.Time, endpoint string, class Class, id uint64) *Ticket {
	t := &Ticket{key: KeyOf(endpoint), class: class, id: id, sentAt: now}
	l := p.view.ownAt(t.key)
	if class == Online {
		l.Online++
	} else {
		l.Batch++
	}
	c := p.conditionOf(t.key)
	c.unanswered[id] = now
	if class == Batch {
		c.batchStarts = append(c.batchStarts, now)
	}
	p.recordFullness(now, t.key)
	return t
}

// recordFullness records the time if all slots of the endpoint are taken, and if there are more requests than slots.
func (p *Placer) recordFullness(now time.Time, k Key) {
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

// FirstByte records that the first byte of the answer has arrived; wasQueued says that the request had to wait for a slot, so
// that its time to the first byte is not a measurement of the endpoint.
func (p *Placer) FirstByte(now time.Time, t *Ticket, wasQueued bool) {
	if !t.firstByteAt.IsZero() {
		return
	}
	t.firstByteAt = now
	c := p.conditionOf(t.key)
	delete(c.unanswered, t.id)
	c.recordSuccess()
	if !wasQueued && t.class == Online {
		c.firstByte = smooth(c.firstByte, now.Sub(t.sentAt))
	}
}

// Ending is how a request at an endpoint ended.
type Ending int

// The endings of a request at an endpoint.
const (
	// EndedComplete means that the complete answer arrived.
	EndedComplete Ending = iota
	// EndedLocally means that this VM or its caller ended the request.
	EndedLocally
	// EndedFull means that the endpoint refused the request because it has no free slot.
	EndedFull
	// EndedFailed means that the endpoint could not be reached, broke the connection or gave an invalid answer.
	EndedFailed
)

// End removes the request from the counts and updates the endpoint's condition by how it ended; later calls for the same
// ticket have no effect.
func (p *Placer) End(now time.Time, t *Ticket, how Ending) {
	if t.hasEnded {
		return
	}
	t.hasEnded = true
	p.recordFullness(now, t.key)
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
	delete(c.unanswered, t.id)
	switch how {
	case EndedComplete:
		if t.class == Online && !t.firstByteAt.IsZero() {
			c.serviceTime = smooth(c.serviceTime, now.Sub(t.sentAt))
		}
	case EndedFull, EndedFailed:
		c.recordFailure(now)
	case EndedLocally:
	}
}

// ObserveReport stores a peer's report in place of its last one.
func (p *Placer) ObserveReport(now time.Time, r Report) {
	if old, ok := p.view.peers[r.VM]; ok {
		for k := range old.report.Loads {
			p.recordFullness(now, k)
		}
	}
	p.view.setReport(now, r)
	for k, n := range r.Hidden {
		c := p.conditionOf(k)
		c.hidden, c.hiddenAt, c.isOwnHidden = n, now, false
	}
	for k := range r.Loads {
		p.recordFullness(now, k)
	}
}

// loadAt returns the sum of the counts that all VMs have for the endpoint; hidden requests count as online.
func (p *Placer) loadAt(now time.Time, k Key) Load {
	load := p.view.at(now, k)
	if c, ok := p.conditions[k]; ok && now.Sub(c.hiddenAt) < hiddenTimeout {
		load.Online += c.hidden
	}
	return load
}

// ObserveEngineLoad records the total number of requests that an engine reports; those beyond the VMs' counts are hidden.
func (p *Placer) ObserveEngineLoad(now time.Time, k Key, requests int) {
	c := p.conditionOf(k)
	c.hidden, c.hiddenAt = max(requests-p.view.at(now, k).sum()-hiddenSlack, 0), now
	c.isOwnHidden = true
}

// Hidden returns the number of hidden requests by endpoint, as far as this VM queried the engines itself.
func (p *Placer) Hidden(now time.Time) map[Key]int {
	hidden := map[Key]int{}
	for k, c := range p.conditions {
		if c.isOwnHidden && c.hidden > 0 && now.Sub(c.hiddenAt) < hiddenTimeout {
			hidden[k] = c.hidden
		}
	}
	return hidden
}

// Faults returns the number of recent failures that this VM observed, by endpoint.
func (p *Placer) Faults(now time.Time) map[Key]float64 {
	faults := map[Key]float64{}
	for k, c := range p.conditions {
		if f := c.recentFaults(now); f >= minFaultWeight {
			faults[k] = f
		}
	}
	return faults
}

// BatchHolders returns the names of the peers that run batch items at the endpoint.
func (p *Placer) BatchHolders(k Key) []string {
	var vms []string
	for vm, peer := range p.view.peers {
		if peer.report.Loads[k].Batch > 0 {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Own returns a copy of this VM's counts by endpoint.
func (p *Placer) Own() map[Key]Load {
	own := make(map[Key]Load, len(p.view.own))
	for k, l := range p.view.own {
		own[k] = *l
	}
	return own
}

// Retain drops the state of endpoints that are not in known and have no requests of this VM.
func (p *Placer) Retain(known map[Key]bool) {
	for k := range p.conditions {
		if _, isBusy := p.view.own[k]; !known[k] && !isBusy {
			delete(p.conditions, k)
		}
	}
}
