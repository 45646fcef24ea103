package detector

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

func (d *Detector) wakeUp(now time.Time, out []Output) []Output {
	if p, ok := d.current.Get(); ok && !p.isAcked && !p.isIndirect && !now.Before(p.sentAt.Add(d.cfg.AckTimeout)) {
		out = d.probeIndirectly(p, out)
	}
	if now.Before(d.nextRound) {
		return out
	}
	d.nextRound = now.Add(d.cfg.ProbeInterval)
	if p, ok := d.current.Get(); ok && !p.isAcked {
		out = d.suspect(now, p.target, out)
	}
	out = d.expire(now, out)
	out = d.notifySuspects(out)
	return d.startRound(now, out)
}

func (d *Detector) suspect(now time.Time, vm string, out []Output) []Output {
	r, ok := d.members[vm]
	if !ok || r.State >= Suspect {
		return out
	}
	m := r.Member
	m.State = Suspect
	out = d.learn(now, m, out)
	d.members[vm].isSuspectedHere = true
	return out
}

// notifySuspects probes the members that this VM suspects, in each round. The message carries the suspicion, so a live
// member can refute it in time instead of waiting until gossip brings the update.
func (d *Detector) notifySuspects(out []Output) []Output {
	for _, vm := range d.ids(func(r *record) bool { return r.isSuspectedHere && r.State == Suspect }) {
		d.number++
		out = append(out, Send{To: d.members[vm].Address, Message: Probe{Number: d.number, Gossip: d.gossipFor(vm)}})
	}
	return out
}

// expire declares a member lost that stayed suspect for SuspicionTimeout, and drops one that was lost for ForgetLostAfter.
func (d *Detector) expire(now time.Time, out []Output) []Output {
	for _, vm := range d.ids(func(r *record) bool { return r.State == Suspect && now.Sub(r.since) >= d.cfg.SuspicionTimeout }) {
		m := d.members[vm].Member
		m.State = Lost
		out = d.learn(now, m, out)
	}
	for _, vm := range d.ids(func(r *record) bool { return r.State == Lost && now.Sub(r.since) >= d.cfg.ForgetLostAfter }) {
		delete(d.members, vm)
	}
	return out
}

func (d *Detector) startRound(now time.Time, out []Output) []Output {
	target, ok := d.nextTarget()
	if !ok {
		d.current = option.None[*probe]()
		return out
	}
	d.number++
	d.current = option.Some(&probe{number: d.number, target: target, sentAt: now})
	m := d.members[target]
	out = append(out, Send{To: m.Address, Message: Probe{Number: d.number, Gossip: d.gossipFor(target)}})
	return out
}

// nextTarget returns the target of a round: each member of this VM's region in turn, in an order shuffled for each pass.
//
// In some rounds the target is a member of another region or a lost one. The probability is such that a few VMs of a
// region do this in each round: enough to heal a partition and to spread updates, at a cost of some hundred bytes per
// second on the link.
func (d *Detector) nextTarget() (string, bool) {
	if vm, ok := d.drawRemoteOrLost(); ok {
		return vm, true
	}
	for range 2 {
		for len(d.targets) > 0 {
			vm := d.targets[0]
			d.targets = d.targets[1:]
			if r, ok := d.members[vm]; ok && r.State != Lost {
				return vm, true
			}
		}
		d.targets = d.ids(func(r *record) bool { return r.State != Lost && r.Region == d.self.Region })
		d.random.Shuffle(len(d.targets), func(i, j int) { d.targets[i], d.targets[j] = d.targets[j], d.targets[i] })
	}
	return "", false
}

// drawRemoteOrLost draws a member of another region or a lost one, if this round goes to one.
func (d *Detector) drawRemoteOrLost() (string, bool) {
	own := d.ids(func(r *record) bool { return r.State != Lost && r.Region == d.self.Region })
	candidates := d.ids(func(r *record) bool { return r.State == Lost || r.Region != d.self.Region })
	if len(candidates) == 0 || d.random.IntN(len(own)+1) >= d.cfg.CrossRegionProbers {
		return "", false
	}
	// In a small region every round would qualify; half of the rounds stay with the region's own members.
	if len(own) > 0 && d.random.IntN(2) == 0 {
		return "", false
	}
	return candidates[d.random.IntN(len(candidates))], true
}

func (d *Detector) probeIndirectly(p *probe, out []Output) []Output {
	p.isIndirect = true
	target, ok := d.members[p.target]
	if !ok {
		return out
	}
	helpers := d.ids(func(r *record) bool {
		return r.State == Alive && r.VM != p.target && r.Region == d.self.Region
	})
	d.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, vm := range helpers[:min(len(helpers), d.cfg.IndirectProbes)] {
		m := ProbeRequest{Number: p.number, Target: target.Address, Gossip: d.gossipFor("")}
		out = append(out, Send{To: d.members[vm].Address, Message: m})
	}
	return out
}

// announceLeaving sends this VM's Leaving state to all members of its region at once.
func (d *Detector) announceLeaving(out []Output) []Output {
	for _, vm := range d.ids(func(r *record) bool { return r.State != Lost && r.Region == d.self.Region }) {
		d.number++
		out = append(out, Send{To: d.members[vm].Address, Message: Probe{Number: d.number, Gossip: d.gossipFor("")}})
	}
	return out
}
