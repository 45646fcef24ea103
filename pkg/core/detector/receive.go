package detector

import (
	"time"
)

func (d *Detector) receive(now time.Time, in Received, out []Output) []Output {
	d.lastReceived = now
	switch m := in.Message.(type) {
	case Probe:
		out = d.learnGossip(now, m.Gossip, out)
		ack := Ack{Number: m.Number, OnBehalfOf: m.OnBehalfOf, Gossip: d.gossipFor(m.Gossip.From.VM)}
		return append(out, Send{To: in.From, Message: ack})
	case Ack:
		out = d.learnGossip(now, m.Gossip, out)
		if m.OnBehalfOf.IsValid() && m.OnBehalfOf != d.self.Address {
			return append(out, Send{To: m.OnBehalfOf, Message: m})
		}
		if p, ok := d.current.Get(); ok && p.number == m.Number {
			p.isAcked = true
		}
	case ProbeRequest:
		out = d.learnGossip(now, m.Gossip, out)
		relayed := Probe{Number: m.Number, OnBehalfOf: in.From, Gossip: d.gossipFor("")}
		return append(out, Send{To: m.Target, Message: relayed})
	}
	return out
}

// learnGossip applies the updates that a message carries.
func (d *Detector) learnGossip(now time.Time, g Gossip, out []Output) []Output {
	out = d.learn(now, g.From, out)
	for _, m := range g.Members {
		out = d.learn(now, m, out)
	}
	for _, e := range g.Endpoints {
		if d.learnEndpoint(e) {
			out = append(out, EndpointLearned{Update: e})
		}
	}
	if g.Head.Revision > d.head.Revision {
		out = append(out, HeadLearned{Head: g.Head, VM: g.From.VM})
	}
	return out
}

func (d *Detector) learnEndpoint(e EndpointUpdate) bool {
	if old, ok := d.endpoints[e.Endpoint]; ok && old.Number >= e.Number {
		return false
	}
	d.endpoints[e.Endpoint] = e
	d.endpointUpdates.add(e.Endpoint, e)
	return true
}

// learn applies an update of a member if it says something newer than what is known.
func (d *Detector) learn(now time.Time, m Member, out []Output) []Output {
	if m.VM == d.self.VM {
		d.refute(m)
		return out
	}
	old, ok := d.members[m.VM]
	if !ok {
		d.members[m.VM] = &record{Member: m, since: now}
		d.memberUpdates.add(m.VM, m)
		return append(out, Changed{Member: m})
	}
	known := old.Member
	switch {
	case isNewer(m, known):
		// Within one incarnation only VMs that don't know the flag drop it.
		m.IsPartitioned = m.IsPartitioned || (known.IsPartitioned && m.Incarnation == known.Incarnation)
		d.members[m.VM] = &record{Member: m, since: now}
	case m.Incarnation == known.Incarnation && m.IsPartitioned && !known.IsPartitioned:
		old.IsPartitioned = true
	default:
		return out
	}
	d.memberUpdates.add(m.VM, d.members[m.VM].Member)
	return append(out, Changed{Member: d.members[m.VM].Member})
}

func isNewer(m, old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// refute raises this VM's incarnation above that of an update which would override its own state.
func (d *Detector) refute(m Member) {
	overrides := m.State > d.self.State || (m.IsPartitioned && !d.self.IsPartitioned)
	if m.Incarnation < d.self.Incarnation || (m.Incarnation == d.self.Incarnation && !overrides) {
		return
	}
	d.self.Incarnation = m.Incarnation + 1
	d.memberUpdates.add(d.self.VM, d.self)
}

// addListed adds the listed members that are not known yet, as alive. A known member keeps its state, unless the list has a later
// incarnation of it: a lost one stays lost until it refutes that itself.
func (d *Detector) addListed(now time.Time, in Listed, out []Output) []Output {
	for _, m := range in.Members {
		old, ok := d.members[m.VM]
		if m.VM == d.self.VM || (ok && m.Incarnation <= old.Incarnation) {
			continue
		}
		m.State = Alive
		d.members[m.VM] = &record{Member: m, since: now}
		out = append(out, Changed{Member: m})
	}
	return out
}
