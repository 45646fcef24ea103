package detector

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

func (d *Detector) wakeUp(now time.Time, out []Output) []Output {
	if p, ok := d.current.Get(); ok && !p.isAcked && !p.isIndirect && !now.Before(p.sentAt.Add(d.cfg.AckWithin)) {
		out = d.probeIndirectly(p, out)
	}
	if now.Before(d.nextRound) {
		return out
	}
	d.nextRound = now.Add(d.cfg.Every)
	if p, ok := d.current.Get(); ok && !p.isAcked {
		out = d.suspect(now, p.target, out)
	}
	out = d.expire(now, out)
	out = d.tellAccused(out)
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
	d.members[vm].isAccused = true
	return out
}

// tellAccused lets the members that this VM suspects know it in each round, so that a live one can speak up in time
// and need not wait for the rumour to come round to it.
func (d *Detector) tellAccused(out []Output) []Output {
	for _, vm := range d.ids(func(r *record) bool { return r.isAccused && r.State == Suspect }) {
		d.number++
		out = append(out, Send{To: d.members[vm].Address, Message: Probe{Number: d.number, News: d.newsFor(vm)}})
	}
	return out
}

// expire declares suspects lost that did not speak up in time, and forgets the long lost.
func (d *Detector) expire(now time.Time, out []Output) []Output {
	for _, vm := range d.ids(func(r *record) bool { return r.State == Suspect && now.Sub(r.since) >= d.cfg.SuspectFor }) {
		m := d.members[vm].Member
		m.State = Lost
		out = d.learn(now, m, out)
	}
	for _, vm := range d.ids(func(r *record) bool { return r.State == Lost && now.Sub(r.since) >= d.cfg.ForgetAfter }) {
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
	out = append(out, Send{To: m.Address, Message: Probe{Number: d.number, News: d.newsFor(target)}})
	return out
}

// nextTarget takes the members of the own region in turn, in an order shuffled anew for each pass.
//
// A round goes abroad or to a lost member with a chance that lets a few VMs of a whole region do so in each round:
// that heals a cut and carries news, and costs the link some hundred bytes a second.
func (d *Detector) nextTarget() (string, bool) {
	if vm, ok := d.drawStray(); ok {
		return vm, true
	}
	for range 2 {
		for len(d.order) > 0 {
			vm := d.order[0]
			d.order = d.order[1:]
			if r, ok := d.members[vm]; ok && r.State != Lost {
				return vm, true
			}
		}
		d.order = d.ids(func(r *record) bool { return r.State != Lost && r.Region == d.self.Region })
		d.random.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
	}
	return "", false
}

func (d *Detector) drawStray() (string, bool) {
	own := d.ids(func(r *record) bool { return r.State != Lost && r.Region == d.self.Region })
	strays := d.ids(func(r *record) bool { return r.State == Lost || r.Region != d.self.Region })
	if len(strays) == 0 || d.random.IntN(len(own)+1) >= d.cfg.CrossRegion {
		return "", false
	}
	// A small region would go abroad in every round; half of them keeps its own members probed.
	if len(own) > 0 && d.random.IntN(2) == 0 {
		return "", false
	}
	return strays[d.random.IntN(len(strays))], true
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
		m := ProbeRequest{Number: p.number, Target: target.Address, News: d.newsFor("")}
		out = append(out, Send{To: d.members[vm].Address, Message: m})
	}
	return out
}

// tellAll sends the leaving notice to the own region at once.
func (d *Detector) tellAll(out []Output) []Output {
	for _, vm := range d.ids(func(r *record) bool { return r.State != Lost && r.Region == d.self.Region }) {
		d.number++
		out = append(out, Send{To: d.members[vm].Address, Message: Probe{Number: d.number, News: d.newsFor("")}})
	}
	return out
}
