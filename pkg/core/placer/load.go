package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerSilence is the age at which a peer's counts are dropped: several of its slowest reports.
const peerSilence = 1200 * time.Millisecond

// Key identifies an endpoint in reports between VMs.
type Key uint64

// KeyOf returns the key of an endpoint's id.
func KeyOf(endpoint string) Key { return Key(xxhash.Sum64String(endpoint)) }

// Load counts a VM's requests under way at one endpoint.
type Load struct {
	Online, Batch int
}

func (l Load) sum() int { return l.Online + l.Batch }

// Report is what a VM tells its peers.
type Report struct {
	VM string
	// Pending is how many batch items wait for a slot at the VM.
	Pending int
	// Urgency is the time until the most urgent of them is due.
	Urgency time.Duration
	Loads   map[Key]Load
	// Hidden holds how many requests engines have that no VM told of.
	Hidden map[Key]int
	// Faults holds the recent failures at each endpoint, each weighing less the older it is.
	Faults map[Key]float64
}

type peer struct {
	at     time.Time
	report Report
}

// view holds the counts of this VM and of its peers, and the sums of the latter.
type view struct {
	own    map[Key]*Load
	peers  map[string]*peer
	sums   map[Key]Load
	faults map[Key]float64
	// pending is how many peers have batch items that wait.
	pending   int
	checkedAt time.Time
}

func newView() view {
	return view{own: map[Key]*Load{}, peers: map[string]*peer{}, sums: map[Key]Load{}, faults: map[Key]float64{}}
}

func (v *view) ownAt(k Key) *Load {
	l, ok := v.own[k]
	if !ok {
		l = &Load{}
		v.own[k] = l
	}
	return l
}

// at returns the counts of all VMs at the endpoint.
func (v *view) at(now time.Time, k Key) Load {
	v.expire(now)
	sum := v.sums[k]
	if l, ok := v.own[k]; ok {
		sum.Online += l.Online
		sum.Batch += l.Batch
	}
	return sum
}

// hear replaces a peer's report.
func (v *view) hear(now time.Time, r Report) {
	v.forget(r.VM)
	v.peers[r.VM] = &peer{at: now, report: r}
	v.add(r, 1)
}

func (v *view) forget(vm string) {
	if old, ok := v.peers[vm]; ok {
		v.add(old.report, -1)
		delete(v.peers, vm)
	}
}

func (v *view) add(r Report, sign int) {
	for k, l := range r.Loads {
		sum := v.sums[k]
		sum.Online += sign * l.Online
		sum.Batch += sign * l.Batch
		if sum == (Load{}) {
			delete(v.sums, k)
			continue
		}
		v.sums[k] = sum
	}
	for k, f := range r.Faults {
		v.faults[k] += float64(sign) * f
		if v.faults[k] < leastFault {
			delete(v.faults, k)
		}
	}
	if r.Pending > 0 {
		v.pending += sign
	}
}

// expire drops the counts of peers that fell silent.
func (v *view) expire(now time.Time) {
	if now.Sub(v.checkedAt) < peerSilence/10 {
		return
	}
	v.checkedAt = now
	for vm, p := range v.peers {
		if now.Sub(p.at) >= peerSilence {
			v.forget(vm)
		}
	}
}
