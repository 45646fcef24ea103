package detector

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// Config says who this VM is and how it probes.
type Config struct {
	Self           Member
	Every          time.Duration
	AckWithin      time.Duration
	SuspectFor     time.Duration
	IndirectProbes int
	CrossRegion    int
	ForgetAfter    time.Duration
}

// DefaultConfig returns the timing for the member: a lost VM is known within about seven seconds.
func DefaultConfig(self Member) Config {
	return Config{
		Self:           self,
		Every:          time.Second,
		AckWithin:      300 * time.Millisecond,
		SuspectFor:     5 * time.Second,
		IndirectProbes: 2,
		CrossRegion:    3,
		ForgetAfter:    10 * time.Minute,
	}
}

// record is a member with when its state last changed.
type record struct {
	Member
	since     time.Time
	isAccused bool
}

// probe is the probe of the current round.
type probe struct {
	number     uint64
	target     string
	sentAt     time.Time
	isIndirect bool
	isAcked    bool
}

// Detector is one VM's view of all VMs.
type Detector struct {
	cfg       Config
	self      Member
	head      configurator.Head
	members   map[string]*record
	endpoints map[string]EndpointNews
	order     []string
	current   option.Option[*probe]
	number    uint64
	nextRound time.Time
	heardAt   time.Time
	random    *rand.Rand
	news      rumours[Member]
	endNews   rumours[EndpointNews]
}

// New returns a detector that knows only itself.
func New(cfg Config, random *rand.Rand) *Detector {
	d := &Detector{
		cfg: cfg, self: cfg.Self, random: random,
		members: map[string]*record{}, endpoints: map[string]EndpointNews{},
	}
	d.news.add(d.self.VM, d.self)
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

// LastHeard returns when any peer was last heard, the zero time when none was.
func (d *Detector) LastHeard() time.Time {
	return d.heardAt
}

// NextWake returns when the detector wants to be woken.
func (d *Detector) NextWake() option.Option[time.Time] {
	wake := d.nextRound
	if p, ok := d.current.Get(); ok && !p.isAcked && !p.isIndirect {
		if at := p.sentAt.Add(d.cfg.AckWithin); at.Before(wake) {
			wake = at
		}
	}
	return option.Some(wake)
}

// Handle takes one input and returns what is to be done, in order.
func (d *Detector) Handle(now time.Time, in Input) []Output {
	out := []Output{}
	switch in := in.(type) {
	case Received:
		out = d.receive(now, in, out)
	case Listed:
		out = d.listed(now, in, out)
	case LeaveOrdered:
		d.self.State = Leaving
		d.self.Incarnation++
		d.news.add(d.self.VM, d.self)
		out = d.tellAll(out)
	case HeadRaised:
		d.head = in.Head
	case EndpointSeen:
		d.hearEndpoint(in.News)
	case Woken:
		out = d.wakeUp(now, out)
	}
	return out
}

// newsFor gathers what a message to vm carries; a receiver that is ill spoken of hears so first.
func (d *Detector) newsFor(vm string) News {
	n := News{From: d.self, Head: d.head, Members: d.news.take(len(d.members)), Endpoints: d.endNews.take(len(d.members))}
	if r, ok := d.members[vm]; ok && r.State >= Suspect {
		n.Members = append(n.Members, r.Member)
	}
	return n
}

// ids returns the ids of matching members in a fixed order.
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
