package assembler

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/hasher"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger"
)

const (
	bytesPerMegabit = 1_000_000 / 8
	// leaseWatchersPerJob is how many VMs check a batch job for expired leases at the short interval.
	leaseWatchersPerJob = 3
)

// Fleet combines the active configuration with the set of live VMs and notifies the daemon's other components of changes.
type Fleet struct {
	vm       loader.VMSettings
	follower *follower.Follower
	log      logrus.FieldLogger
	parts    *parts
	// ready is closed once parts and view are set.
	ready chan struct{}

	// allocated holds the endpoints whose slot allocator runs on this VM.
	allocated atomic.Pointer[[]declarer.Endpoint]

	mu      sync.Mutex
	view    *messenger.View
	leaving map[string]bool
}

var _ messenger.Listener = (*Fleet)(nil)

func newFleet(s loader.Settings, f *follower.Follower, log logrus.FieldLogger) *Fleet {
	fleet := &Fleet{vm: s.VM, follower: f, log: log, ready: make(chan struct{}), leaving: map[string]bool{}}
	fleet.allocated.Store(&[]declarer.Endpoint{})
	f.OnApply(func(*follower.Configuration) { fleet.reconfigure() })
	return fleet
}

// bind sets the components that are notified of changes; methods that need them wait until then.
func (f *Fleet) bind(p *parts) {
	f.parts = p
	f.view = p.Membership.View()
	close(f.ready)
}

// AllocatedEndpoints returns the endpoints whose slot allocator runs on this VM now.
func (f *Fleet) AllocatedEndpoints() []declarer.Endpoint {
	return *f.allocated.Load()
}

// IsLeaseWatcher reports whether this VM is one of the leaseWatchersPerJob that check the batch job for expired segment leases at
// the short interval.
func (f *Fleet) IsLeaseWatcher(job string) bool {
	f.mu.Lock()
	live := f.view.Live("")
	f.mu.Unlock()
	ranked := hasher.Rank(job, live)
	return slices.Contains(ranked[:min(leaseWatchersPerJob, len(ranked))], f.vm.ID)
}

// BatchPolicy returns the active preset's policy for batch work.
func (f *Fleet) BatchPolicy() declarer.BatchPolicy {
	return f.follower.Current().Preset.Batch
}

// BatchRetryBudget returns how many retries each batch item adds to the retry budget.
func (f *Fleet) BatchRetryBudget() float64 {
	return f.follower.Current().Preset.Retry.BatchBudget
}

// OnlinePolicy returns the active preset's policy for online requests.
func (f *Fleet) OnlinePolicy() declarer.OnlinePolicy {
	return f.follower.Current().Preset.Online
}

// Endpoint returns the declared endpoint, marked as leaving if its declaration or a later update says so, and whether it is
// declared.
func (f *Fleet) Endpoint(name string) (declarer.Endpoint, bool) {
	e, ok := f.follower.Current().Snapshot.Endpoint(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	e.IsLeaving = e.IsLeaving || f.leaving[name]
	return e, ok
}

// AllocatorPolicy returns the policy of the endpoint's slot allocator, and whether the endpoint is declared.
func (f *Fleet) AllocatorPolicy(name string) (allocator.Policy, bool) {
	p, ok := f.follower.Current().AllocatorPolicy(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	p.IsLeaving = p.IsLeaving || f.leaving[name]
	return p, ok
}

// MembersChanged takes a newer membership view: it frees the slots of lost VMs and recomputes this VM's endpoints and shares.
func (f *Fleet) MembersChanged(v *messenger.View) {
	<-f.ready
	f.mu.Lock()
	f.view = v
	f.mu.Unlock()
	for _, m := range v.Members {
		if m.State == detector.Lost {
			f.parts.Granter.ReleaseVM(m.VM)
		}
	}
	f.recomputeShares()
	go f.parts.Reserver.DeclareMoved(v)
}

// HeadLearned notifies the follower that the peer vm has a newer configuration.
func (f *Fleet) HeadLearned(head configurator.Head, vm string) {
	f.follower.ObserveHead(head, vm)
}

// EndpointLearned applies a peer's update about whether an endpoint is leaving.
func (f *Fleet) EndpointLearned(update detector.EndpointUpdate) {
	<-f.ready
	f.setLeaving(update.Endpoint, update.IsLeaving)
}

// EndpointListed marks an endpoint as leaving because the platform's list of VMs says so, and gossips it.
func (f *Fleet) EndpointListed(endpoint string) {
	<-f.ready
	f.announce(endpoint, true)
}

// announce gossips and applies that an endpoint is leaving or takes requests again, unless this VM knows it already.
func (f *Fleet) announce(endpoint string, isLeaving bool) {
	f.mu.Lock()
	isKnown := f.leaving[endpoint] == isLeaving
	f.mu.Unlock()
	if isKnown {
		return
	}
	number := uint64(time.Now().UnixNano())
	f.parts.Membership.Submit(detector.EndpointChanged{
		Update: detector.EndpointUpdate{Endpoint: endpoint, IsLeaving: isLeaving, Number: number},
	})
	f.setLeaving(endpoint, isLeaving)
}

func (f *Fleet) setLeaving(endpoint string, isLeaving bool) {
	f.mu.Lock()
	f.leaving[endpoint] = isLeaving
	f.mu.Unlock()
	f.log.WithFields(logrus.Fields{"endpoint": endpoint, "isLeaving": isLeaving}).Info("endpoint news")
	f.reconfigure()
}

// reconfigure passes the active configuration to the components that depend on it.
func (f *Fleet) reconfigure() {
	<-f.ready
	c := f.follower.Current()
	f.parts.Dispatcher.SetRetryBudget(c.Preset.Retry.OnlineBudget)
	f.parts.Router.Handle(f.routerConfig(c))
	for _, e := range c.Snapshot.Endpoints {
		if known, _ := f.Endpoint(e.Name); known.IsLeaving {
			f.parts.Router.Handle(router.EndpointLeaving{Endpoint: e.Name})
		}
	}
	f.parts.Granter.Reconfigure()
	f.parts.Membership.Submit(detector.HeadActivated{Head: c.Head})
	f.recomputeShares()
}

// recomputeShares updates what depends on the number of live VMs: the endpoints that this VM allocates slots for, and its
// shares of the account limits and of the link between regions.
func (f *Fleet) recomputeShares() {
	c := f.follower.Current()
	f.mu.Lock()
	view := f.view
	f.mu.Unlock()
	live := view.Live(f.vm.Region)
	allocated := []declarer.Endpoint{}
	for _, e := range c.Snapshot.Endpoints {
		known, _ := f.Endpoint(e.Name)
		if e.Region == f.vm.Region && !known.IsLeaving && hasher.First(e.Name, live) == f.vm.ID {
			allocated = append(allocated, e)
		}
	}
	f.allocated.Store(&allocated)
	f.parts.Server.Reconfigure(len(view.Live("")), c.Preset.AccountScale)
	f.parts.RateLimitedStore.SetBytesPerSecond(f.bulkRate(c, len(live)))
	f.parts.SegmentRunner.Wake()
}

// bulkRate returns this VM's share of the link's bulk share in bytes per second. It is 0, no limit, in the region that holds
// the store and in a region without a link.
func (f *Fleet) bulkRate(c *follower.Configuration, live int) float64 {
	for _, r := range c.Snapshot.Regions {
		if r.HoldsStore && r.Name == f.vm.Region {
			return 0
		}
	}
	for _, l := range c.Snapshot.Links {
		if l.Regions[0] == f.vm.Region || l.Regions[1] == f.vm.Region {
			return l.MegabitsPerSec * bytesPerMegabit * l.BulkShare / float64(max(1, live))
		}
	}
	return 0
}

func (f *Fleet) routerConfig(c *follower.Configuration) router.Configured {
	cfg := router.Configured{Region: f.vm.Region, AvailabilityZone: f.vm.AvailabilityZone}
	for _, e := range c.Snapshot.Endpoints {
		serves := e.Models
		if e.Service != "" {
			serves = []string{"service/" + e.Service}
		}
		cfg.Endpoints = append(cfg.Endpoints, router.Endpoint{
			Name: e.Name, Region: e.Region, AvailabilityZone: e.AvailabilityZone, Serves: serves, Slots: e.Slots,
		})
	}
	f.mu.Lock()
	live := len(f.view.Live(f.vm.Region))
	f.mu.Unlock()
	for _, l := range c.Snapshot.Links {
		for i, region := range l.Regions {
			if region == f.vm.Region {
				share := l.MegabitsPerSec * bytesPerMegabit * l.OnlineOverflowShare / float64(max(1, live))
				cfg.Links = append(cfg.Links, router.Link{Region: l.Regions[1-i], OneWay: l.OneWayDelay, BytesPerSecond: share})
			}
		}
	}
	return cfg
}
