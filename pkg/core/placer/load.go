package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// reportTimeout is the age at which a peer's counts are dropped: four of the intervals at which a peer reports when nothing
// changes (package gossiper).
const reportTimeout = 1200 * time.Millisecond

// Key identifies an endpoint in reports between VMs.
type Key uint64

// KeyOf returns the key of an endpoint's id.
func KeyOf(endpoint string) Key { return Key(xxhash.Sum64String(endpoint)) }

// Load counts requests in flight at one endpoint.
type Load struct {
	Online, Batch int
}

func (l Load) sum() int { return l.Online + l.Batch }

// Report holds the counts that a VM sends to its peers.
type Report struct {
	VM string
	// Waiting holds, for each batch item that waits for a slot at the VM, the time until it is due, the soonest first.
	Waiting []time.Duration
	// Bound holds, for each entry of Waiting, the only software version that may run the item, zero for any; missing entries
	// are zero.
	Bound []registrar.Software
	Loads map[Key]Load
	// Faults holds the number of recent failures at each endpoint; the weight of a failure falls with its age.
	Faults map[Key]float64
	// Slow lists the endpoints at which a request has waited too long for its first byte.
	Slow []Key
}

// Observation is how one request fared at an endpoint, as the VM that sent it measured it.
type Observation struct {
	Key Key
	// FirstByte is the time to the first byte and ServiceTime the time in all; zero if there is no measurement. An observation
	// without either, and without a failure, says that an answer began.
	FirstByte, ServiceTime time.Duration
	// HasFailed says that the endpoint failed or refused the request.
	HasFailed bool
}

// peer is a peer's last report and the time at which it arrived.
type peer struct {
	at     time.Time
	report Report
}

// view holds the counts of this VM, the last reports of its peers, and the sums of those reports.
type view struct {
	own    map[Key]*Load
	peers  map[string]*peer
	sums   map[Key]Load
	faults map[Key]float64
	// slow counts the peers that report an endpoint as slow.
	slow map[Key]int
	// expiredAt is the time of the last check for expired reports.
	expiredAt time.Time
}

func newView() view {
	return view{
		own: map[Key]*Load{}, peers: map[string]*peer{}, sums: map[Key]Load{}, faults: map[Key]float64{}, slow: map[Key]int{},
	}
}

func (v *view) ownAt(k Key) *Load {
	l, ok := v.own[k]
	if !ok {
		l = &Load{}
		v.own[k] = l
	}
	return l
}

// at returns the sum of the counts that all VMs have for the endpoint.
func (v *view) at(now time.Time, k Key) Load {
	v.expire(now)
	sum := v.sums[k]
	if l, ok := v.own[k]; ok {
		sum.Online += l.Online
		sum.Batch += l.Batch
	}
	return sum
}

// setReport replaces a peer's report.
func (v *view) setReport(now time.Time, r Report) {
	v.removePeer(r.VM)
	v.peers[r.VM] = &peer{at: now, report: r}
	v.add(r, 1)
}

// removePeer drops the report of a VM, if there is one.
func (v *view) removePeer(vm string) {
	if old, ok := v.peers[vm]; ok {
		v.add(old.report, -1)
		delete(v.peers, vm)
	}
}

// add adds the report's counts to the sums if sign is 1, and subtracts them if it is -1.
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
		if v.faults[k] < minFaultWeight {
			delete(v.faults, k)
		}
	}
	for _, k := range r.Slow {
		if v.slow[k] += sign; v.slow[k] <= 0 {
			delete(v.slow, k)
		}
	}
}

// expire drops the counts of peers whose last report is older than reportTimeout; it checks at most once per tenth of that.
func (v *view) expire(now time.Time) {
	if now.Sub(v.expiredAt) < reportTimeout/10 {
		return
	}
	v.expiredAt = now
	for vm, p := range v.peers {
		if now.Sub(p.at) >= reportTimeout {
			v.removePeer(vm)
		}
	}
}
