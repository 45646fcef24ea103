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
	Loads   map[Key]Load
}

type peer struct {
	at     time.Time
	report Report
}

// view holds the counts of this VM and of its peers.
type view struct {
	own   map[Key]*Load
	peers map[string]*peer
}

func newView() view {
	return view{own: map[Key]*Load{}, peers: map[string]*peer{}}
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
	sum := Load{}
	if l, ok := v.own[k]; ok {
		sum = *l
	}
	for _, p := range v.peers {
		if now.Sub(p.at) < peerSilence {
			l := p.report.Loads[k]
			sum.Online += l.Online
			sum.Batch += l.Batch
		}
	}
	return sum
}
