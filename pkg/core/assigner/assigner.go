package assigner

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// vmTimeout is the age of a VM's last report at which its counts are dropped: four of the intervals at which a VM with requests
// reports when nothing changes.
const vmTimeout = 1200 * time.Millisecond

// takeOverTime is how long a new assigner offers no slots to batch items: the interval between the reports of a VM with requests,
// and a message.
const takeOverTime = 350 * time.Millisecond

// Assigner assigns the slots of one group of endpoints. It is not safe for concurrent use.
type Assigner struct {
	placer    *placer.Placer
	regions   map[string]string
	endpoints []registrar.Endpoint
	ids       map[placer.Key]string
	vms       map[string]*vm
	// since is the time of the first input.
	since time.Time
	// lastOrder is the number of the newest order.
	lastOrder uint64
	shares    shares
	omitted   placer.Omitted
	// lowered counts the questions over which others had precedence.
	lowered int64
}

// vm is a VM that has reported.
type vm struct {
	zone        string
	incarnation int64
	sequence    uint64
	heardAt     time.Time
	report      placer.Report
	// orders are those that the VM's last report does not take account of.
	orders []order
}

// order changes a VM's count of requests at an endpoint; its effect is counted before the VM reports it.
type order struct {
	number uint64
	at     time.Time
	key    placer.Key
	change placer.Load
	// isOffer says that the order is the offer of a slot to a batch item.
	isOffer bool
}

// New returns an assigner without endpoints; regions holds the region of each availability zone. The first order has a number
// higher than firstOrder.
func New(regions map[string]string, random *rand.Rand, firstOrder uint64) *Assigner {
	return &Assigner{
		placer:  placer.New(placer.Topology{Regions: regions}, placer.SpreadExact, random),
		regions: regions, vms: map[string]*vm{}, ids: map[placer.Key]string{}, lastOrder: firstOrder,
		shares: newShares(),
	}
}

// Omit leaves out the decisions; a load test calls it before the first input.
func (a *Assigner) Omit(o placer.Omitted) {
	a.omitted = o
	a.placer.Omit(o)
}

// Lowered returns the number of questions so far over which other accounts or priorities had precedence.
func (a *Assigner) Lowered() int64 { return a.lowered }

// IsIdle reports whether no VM has reported lately, so that the assigner need not be woken.
func (a *Assigner) IsIdle() bool { return len(a.vms) == 0 }

// Handle processes one input and returns the orders and replies to send.
func (a *Assigner) Handle(now time.Time, in Input) []Output {
	if a.since.IsZero() {
		a.since = now
	}
	switch in := in.(type) {
	case Configured:
		a.configure(in)
	case Reported:
		if !a.report(now, in) {
			return nil
		}
		return a.balance(now, nil)
	case Asked:
		return a.balance(now, a.ask(now, in))
	case RateLimitsNamed:
		for _, l := range in.Limits {
			if _, ok := a.ids[l.Key]; ok {
				a.placer.ObserveRateLimit(now, l)
			}
		}
	case Woken:
		a.expire(now)
		return a.balance(now, nil)
	}
	return nil
}

func (a *Assigner) configure(in Configured) {
	a.endpoints = in.Endpoints
	known := map[placer.Key]bool{}
	a.ids = make(map[placer.Key]string, len(in.Endpoints))
	for _, e := range in.Endpoints {
		k := placer.KeyOf(e.ID)
		a.ids[k], known[k] = e.ID, true
	}
	a.placer.Retain(known)
}

// report stores the report unless a newer one is known, and returns whether it did.
func (a *Assigner) report(now time.Time, in Reported) bool {
	v, ok := a.vms[in.VM]
	if !ok {
		v = &vm{}
		a.vms[in.VM] = v
	}
	if in.Incarnation < v.incarnation || (in.Incarnation == v.incarnation && in.Sequence <= v.sequence) {
		return false
	}
	if in.Incarnation > v.incarnation {
		v.orders = nil
	}
	v.incarnation, v.sequence, v.heardAt, v.zone = in.Incarnation, in.Sequence, now, in.AvailabilityZone
	v.report = in.Report
	v.orders = slices.DeleteFunc(v.orders, func(o order) bool { return o.number <= in.Acknowledged })
	for _, o := range in.Observations {
		if _, ok := a.ids[o.Key]; ok {
			a.placer.Observe(now, o)
		}
	}
	a.count(now, in.VM, v)
	for k, n := range in.Engines {
		if _, ok := a.ids[k]; ok {
			a.placer.ObserveEngineLoad(now, k, n)
		}
	}
	return true
}

// count passes the VM's counts to the placer: those that it reported, changed by the orders that it has not acknowledged.
func (a *Assigner) count(now time.Time, name string, v *vm) {
	r := v.report
	r.VM = name
	if len(v.orders) > 0 {
		r.Loads = maps.Clone(r.Loads)
		if r.Loads == nil {
			r.Loads = map[placer.Key]placer.Load{}
		}
		for _, o := range v.orders {
			l := r.Loads[o.key]
			r.Loads[o.key] = placer.Load{Online: l.Online + o.change.Online, Batch: max(l.Batch+o.change.Batch, 0)}
		}
	}
	a.placer.ObserveReport(now, r)
}

func (a *Assigner) forget(name string) {
	delete(a.vms, name)
	a.placer.Forget(name)
}

// expire drops the orders that were not acknowledged in time, and the VMs that no longer report.
func (a *Assigner) expire(now time.Time) {
	for name, v := range a.vms {
		if now.Sub(v.heardAt) >= vmTimeout {
			a.forget(name)
			continue
		}
		n := len(v.orders)
		v.orders = slices.DeleteFunc(v.orders, func(o order) bool { return now.Sub(o.at) >= OfferTime })
		if len(v.orders) < n {
			a.count(now, name, v)
		}
	}
}

// give adds an order for the VM and returns its number.
func (a *Assigner) give(now time.Time, name string, o order) uint64 {
	v, ok := a.vms[name]
	if !ok {
		v = &vm{heardAt: now}
		a.vms[name] = v
	}
	a.lastOrder++
	o.number, o.at = a.lastOrder, now
	v.orders = append(v.orders, o)
	a.count(now, name, v)
	return o.number
}

func (a *Assigner) ask(now time.Time, in Asked) []Output {
	r := in.Request
	r.Candidates = a.endpoints
	r.Tried = make(map[string]bool, len(in.Excluded))
	for _, k := range in.Excluded {
		if id, ok := a.ids[k]; ok {
			r.Tried[id] = true
		}
	}
	if !a.omitted.Shares {
		if r.WaitShare = a.shares.waitShare(now, r, a.placer.ServiceTime(), a.endpoints); r.WaitShare < 1 {
			a.lowered++
		}
	}
	d := a.placer.Place(now, r)
	s, ok := d.(placer.Send)
	if !ok {
		return []Output{Placed{VM: in.VM, Question: in.Number, Decision: d}}
	}
	a.shares.gave(now, r.Account)
	k := placer.KeyOf(s.Endpoint.ID)
	out := a.countSend(now, in.VM, k, placer.Online)
	number := a.give(now, in.VM, order{key: k, change: placer.Load{Online: 1}})
	return append(out, Placed{VM: in.VM, Question: in.Number, Order: number, Decision: s})
}

// countSend counts a request against the endpoint's rate limit, and notifies the VM that sends it of the limit.
func (a *Assigner) countSend(now time.Time, vm string, k placer.Key, class placer.Class) []Output {
	l := a.placer.RateLimitOf(k)
	if !l.IsNamed {
		return nil
	}
	a.placer.CountSend(now, k, class)
	return []Output{RateLimitNotified{VM: vm, Limit: l}}
}

// balance orders preemptions where online requests need slots, and then offers free slots to batch items.
func (a *Assigner) balance(now time.Time, out []Output) []Output {
	for _, e := range a.endpoints {
		excess := a.placer.ExcessBatch(now, e)
		for _, name := range slices.Sorted(maps.Keys(excess)) {
			k, n := placer.KeyOf(e.ID), excess[name]
			number := a.give(now, name, order{key: k, change: placer.Load{Batch: -n}})
			out = append(out, PreemptionOrdered{VM: name, Order: number, Key: k, Items: n})
		}
	}
	return a.offer(now, out)
}

// offer offers free slots to the waiting batch items, those of the group's region first, and of these the ones that are due
// soonest.
func (a *Assigner) offer(now time.Time, out []Output) []Output {
	if now.Sub(a.since) < takeOverTime {
		return out
	}
	for _, w := range a.waiting(now) {
		e, ok := a.placer.ChooseBatchEndpoint(now, a.vms[w.vm].zone, continuer.Candidates(w.bound, a.endpoints))
		if _, isBound := w.bound.Get(); !ok && isBound {
			continue
		}
		if !ok {
			return out
		}
		k := placer.KeyOf(e.ID)
		out = append(out, a.countSend(now, w.vm, k, placer.Batch)...)
		number := a.give(now, w.vm, order{key: k, change: placer.Load{Batch: 1}, isOffer: true})
		out = append(out, BatchOffered{VM: w.vm, Order: number, Endpoint: e})
	}
	return out
}

// waitingItem is a batch item of a VM that waits for a slot.
type waitingItem struct {
	vm string
	// isFar says that the VM is in another region than the group.
	isFar   bool
	urgency time.Duration
	// bound is the software version that must run the item; none means any.
	bound option.Option[registrar.Software]
}

// waiting returns the waiting batch items that have no offer yet, in the order in which they get slots.
func (a *Assigner) waiting(now time.Time) []waitingItem {
	if len(a.endpoints) == 0 {
		return nil
	}
	region := a.regions[a.endpoints[0].AvailabilityZone]
	var list []waitingItem
	for name, v := range a.vms {
		offers := 0
		for _, o := range v.orders {
			if o.isOffer {
				offers++
			}
		}
		for i, urgency := range v.report.Waiting {
			if i < offers {
				continue
			}
			item := waitingItem{vm: name, isFar: a.regions[v.zone] != region, urgency: urgency - now.Sub(v.heardAt)}
			if i < len(v.report.Bound) && v.report.Bound[i] != 0 {
				item.bound = option.Some(v.report.Bound[i])
			}
			list = append(list, item)
		}
	}
	slices.SortFunc(list, func(a, b waitingItem) int {
		if a.isFar != b.isFar {
			if b.isFar {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.vm, b.vm))
	})
	return list
}
