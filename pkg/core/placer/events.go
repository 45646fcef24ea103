package placer

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

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
	// wasQueued says that the request had to wait for a slot.
	wasQueued bool
	hasEnded  bool
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
// that its time to the first byte is not a measurement of the endpoint. It returns what the peers are to learn of it.
func (p *Placer) FirstByte(now time.Time, t *Ticket, wasQueued bool) option.Option[Observation] {
	if !t.firstByteAt.IsZero() {
		return option.None[Observation]()
	}
	t.firstByteAt, t.wasQueued = now, wasQueued
	c := p.conditionOf(t.key)
	delete(c.unanswered, t.id)
	c.recordSuccess()
	if !wasQueued && t.class == Online {
		c.firstByte = smooth(c.firstByte, now.Sub(t.sentAt))
		return option.Some(Observation{Key: t.key, FirstByte: now.Sub(t.sentAt)})
	}
	return option.Some(Observation{Key: t.key})
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
	// EndedRejected means that the endpoint answered that it can't read the message, which says nothing about the endpoint.
	EndedRejected
)

// End removes the request from the counts and updates the endpoint's condition by how it ended; later calls for the same
// ticket have no effect. It returns what the peers are to learn of it.
func (p *Placer) End(now time.Time, t *Ticket, how Ending) option.Option[Observation] {
	if t.hasEnded {
		return option.None[Observation]()
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
			took := p.serviceTimeOf(now, t, c)
			c.serviceTime = smooth(c.serviceTime, took)
			return option.Some(Observation{Key: t.key, ServiceTime: took})
		}
	case EndedFull, EndedFailed:
		c.recordFailure(now)
		return option.Some(Observation{Key: t.key, HasFailed: true})
	case EndedLocally, EndedRejected:
	}
	return option.None[Observation]()
}

// Fail records a failure of the endpoint that became known after its request had ended, and returns what the peers are to learn
// of it.
func (p *Placer) Fail(now time.Time, k Key) Observation {
	p.conditionOf(k).recordFailure(now)
	return Observation{Key: k, HasFailed: true}
}

// serviceTimeOf returns how long the completed request held its slot. The wait for the slot is no part of it: counted in, it
// would make an endpoint with a queue look slower than it is, and its queue longer.
func (p *Placer) serviceTimeOf(now time.Time, t *Ticket, c *condition) time.Duration {
	if t.wasQueued && !p.omitted.QueueTimes {
		return c.firstByte + now.Sub(t.firstByteAt)
	}
	return now.Sub(t.sentAt)
}

// ServiceTime returns the mean time that a request holds a slot, over all endpoints.
func (p *Placer) ServiceTime() time.Duration {
	if len(p.conditions) == 0 {
		return initialServiceTime
	}
	sum := time.Duration(0)
	for _, c := range p.conditions {
		sum += c.serviceTime
	}
	return sum / time.Duration(len(p.conditions))
}

// ObserveReport stores a peer's report in place of its last one.
func (p *Placer) ObserveReport(now time.Time, r Report) {
	if old, ok := p.view.peers[r.VM]; ok {
		for k := range old.report.Loads {
			p.recordFullness(now, k)
		}
	}
	p.view.setReport(now, r)
	for k := range r.Loads {
		p.recordFullness(now, k)
	}
}

// Observe records how a peer's request fared at an endpoint.
func (p *Placer) Observe(now time.Time, o Observation) {
	c := p.conditionOf(o.Key)
	if o.HasFailed {
		c.recordFailure(now)
		return
	}
	c.recordSuccess()
	if o.FirstByte > 0 {
		c.firstByte = smooth(c.firstByte, o.FirstByte)
	}
	if o.ServiceTime > 0 {
		c.serviceTime = smooth(c.serviceTime, o.ServiceTime)
	}
}

// Slow returns the endpoints at which a request of this VM has waited for its first byte longer than suspicionFactor times
// objective.
func (p *Placer) Slow(now time.Time, objective time.Duration) []Key {
	var slow []Key
	for k, c := range p.conditions {
		for _, sent := range c.unanswered {
			if now.Sub(sent) > suspicionFactor*objective {
				slow = append(slow, k)
				break
			}
		}
	}
	return slow
}

// LoadAt returns the number of requests at the endpoint by the counts of all VMs, and by what its engine reported.
func (p *Placer) LoadAt(now time.Time, k Key) Load { return p.loadAt(now, k) }

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

// ForgetFailures forgets all failures of endpoints.
func (p *Placer) ForgetFailures() {
	for _, c := range p.conditions {
		c.recordSuccess()
		c.faults, c.trialUntil = 0, time.Time{}
	}
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

// Key returns the endpoint of the ticket's request.
func (t *Ticket) Key() Key { return t.key }

// Forget drops a peer's report.
func (p *Placer) Forget(vm string) { p.view.removePeer(vm) }

// IsBatch reports whether the ticket's request is a batch item.
func (t *Ticket) IsBatch() bool { return t.class == Batch }

// HasEnded reports whether the ticket's request has ended.
func (t *Ticket) HasEnded() bool { return t.hasEnded }
