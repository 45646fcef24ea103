package detector

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// Config holds this VM's own member entry and its probe settings.
type Config struct {
	Self Member
	// ProbeInterval is the length of a round.
	ProbeInterval time.Duration
	// AckTimeout is the time without an Ack after which other VMs are asked to probe the target.
	AckTimeout time.Duration
	// SuspicionTimeout is how long a suspect has to refute before it is declared lost.
	SuspicionTimeout time.Duration
	// IndirectProbes is how many VMs are asked to probe a target that did not answer.
	IndirectProbes int
	// CrossRegionProbers bounds the expected number of VMs of a region that probe a remote or lost member in one round.
	CrossRegionProbers int
	// ForgetLostAfter is how long a lost member is kept.
	ForgetLostAfter time.Duration
	// MaxPartitionIncarnation is the highest incarnation that this VM takes to say whether it is partitioned; 0 is no limit. A VM
	// with fewer than two incarnations left doesn't say that it is, so that it can always say that it no longer is.
	MaxPartitionIncarnation uint64
}

// DefaultConfig returns the default settings for the member: a failed VM is declared lost within about seven seconds.
func DefaultConfig(self Member) Config {
	return Config{
		Self:               self,
		ProbeInterval:      time.Second,
		AckTimeout:         300 * time.Millisecond,
		SuspicionTimeout:   5 * time.Second,
		IndirectProbes:     2,
		CrossRegionProbers: 3,
		ForgetLostAfter:    10 * time.Minute,
	}
}

// record is a member with the time of its last accepted update.
type record struct {
	Member
	since time.Time
	// isSuspectedHere is set if the suspicion comes from a probe of this VM that failed.
	isSuspectedHere bool
}

// probe is the probe of the current round; isIndirect is set once other VMs have been asked to probe the target.
type probe struct {
	number     uint64
	target     string
	sentAt     time.Time
	isIndirect bool
	isAcked    bool
}

// Detector holds one VM's view of all VMs and probes them. It is not safe for concurrent use.
type Detector struct {
	cfg       Config
	self      Member
	head      configurator.Head
	members   map[string]*record
	endpoints map[string]EndpointUpdate
	// targets are the members still to be probed in this pass.
	targets         []string
	current         option.Option[*probe]
	number          uint64
	nextRound       time.Time
	lastReceived    time.Time
	random          *rand.Rand
	memberUpdates   updateQueue[Member]
	endpointUpdates updateQueue[EndpointUpdate]
}

// New returns a detector that knows only its own VM.
func New(cfg Config, random *rand.Rand) *Detector {
	d := &Detector{
		cfg: cfg, self: cfg.Self, random: random,
		members: map[string]*record{}, endpoints: map[string]EndpointUpdate{},
	}
	d.memberUpdates.add(d.self.VM, d.self)
	return d
}

// Members returns every known VM, this one first and the others by id.
func (d *Detector) Members() []Member {
	list := []Member{}
	for _, r := range d.members {
		list = append(list, r.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	return slices.Insert(list, 0, d.self)
}

// LastReceived returns when the last message from any peer was received, or the zero time if there was none.
func (d *Detector) LastReceived() time.Time {
	return d.lastReceived
}

// NextWake returns when the detector needs its next Woken input.
func (d *Detector) NextWake() option.Option[time.Time] {
	wake := d.nextRound
	if p, ok := d.current.Get(); ok && !p.isAcked && !p.isIndirect {
		if at := p.sentAt.Add(d.cfg.AckTimeout); at.Before(wake) {
			wake = at
		}
	}
	return option.Some(wake)
}

// Handle processes one input and returns the actions to perform, in order.
func (d *Detector) Handle(now time.Time, in Input) []Output {
	out := []Output{}
	switch in := in.(type) {
	case Received:
		out = d.receive(now, in, out)
	case Listed:
		out = d.addListed(now, in, out)
	case LeaveOrdered:
		d.self.State = Leaving
		d.self.Incarnation++
		d.memberUpdates.add(d.self.VM, d.self)
		out = d.announceLeaving(out)
	case PartitionChanged:
		d.setPartitioned(in.IsPartitioned)
	case HeadActivated:
		d.head = in.Head
	case EndpointChanged:
		d.learnEndpoint(in.Update)
	case Woken:
		out = d.wakeUp(now, out)
	}
	return out
}

// Self returns this VM's own member.
func (d *Detector) Self() Member { return d.self }

// setPartitioned raises this VM's incarnation if the state is a new one; the next messages carry it.
func (d *Detector) setPartitioned(is bool) {
	most := d.cfg.MaxPartitionIncarnation
	if is == d.self.IsPartitioned || (is && most > 0 && d.self.Incarnation+2 > most) {
		return
	}
	d.self.IsPartitioned = is
	d.self.Incarnation++
	d.memberUpdates.add(d.self.VM, d.self)
}

// gossipFor returns the updates that a message to vm carries. If vm is suspect or lost, they include that state, so that
// vm can refute it.
func (d *Detector) gossipFor(vm string) Gossip {
	g := Gossip{
		From: d.self, Head: d.head,
		Members: d.memberUpdates.take(len(d.members)), Endpoints: d.endpointUpdates.take(len(d.members)),
	}
	if r, ok := d.members[vm]; ok && r.State >= Suspect {
		g.Members = append(g.Members, r.Member)
	}
	return g
}

// ids returns the sorted ids of the members that match.
func (d *Detector) ids(match func(*record) bool) []string {
	list := []string{}
	for vm, r := range d.members {
		if match(r) {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, strings.Compare)
	return list
}
