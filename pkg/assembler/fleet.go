package assembler

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/ranker"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger"
)

const (
	megabitBytes  = 1_000_000 / 8
	watchersOfJob = 3
)

// Fleet joins what the configuration declares with which VMs are live, and tells the other parts of changes.
type Fleet struct {
	vm       loader.VMSettings
	follower *follower.Follower
	log      logrus.FieldLogger
	parts    *parts
	ready    chan struct{}

	kept atomic.Pointer[[]declarer.Endpoint]

	mu      sync.Mutex
	view    *messenger.View
	leaving map[string]bool
}

var _ messenger.Listener = (*Fleet)(nil)

func newFleet(s loader.Settings, f *follower.Follower, log logrus.FieldLogger) *Fleet {
	fleet := &Fleet{vm: s.VM, follower: f, log: log, ready: make(chan struct{}), leaving: map[string]bool{}}
	fleet.kept.Store(&[]declarer.Endpoint{})
	f.OnApply(func(*follower.Current) { fleet.reconfigure() })
	return fleet
}

// bind hands over the parts that are told of changes; nothing is told before.
func (f *Fleet) bind(p *parts) {
	f.parts = p
	f.view = p.Membership.View()
	close(f.ready)
}

// KeptEndpoints returns the endpoints that this VM keeps now.
func (f *Fleet) KeptEndpoints() []declarer.Endpoint {
	return *f.kept.Load()
}

// IsWatcher reports whether this VM is one of the few that look often for lapsed leases of the job.
func (f *Fleet) IsWatcher(job string) bool {
	f.mu.Lock()
	live := f.view.Live("")
	f.mu.Unlock()
	ranked := ranker.Rank(job, live)
	return slices.Contains(ranked[:min(watchersOfJob, len(ranked))], f.vm.ID)
}

// BatchPolicy returns what the preset in force says of batch.
func (f *Fleet) BatchPolicy() declarer.BatchPolicy {
	return f.follower.Current().Preset.Batch
}

// BatchRetryBudget returns how many retries each batch item earns.
func (f *Fleet) BatchRetryBudget() float64 {
	return f.follower.Current().Preset.Retry.BatchBudget
}

// OnlinePolicy returns what the preset in force says of online requests.
func (f *Fleet) OnlinePolicy() declarer.OnlinePolicy {
	return f.follower.Current().Preset.Online
}

// Endpoint returns the declared endpoint, marked as leaving when anything said so.
func (f *Fleet) Endpoint(name string) (declarer.Endpoint, bool) {
	e, ok := f.follower.Current().Snapshot.Endpoint(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	e.IsLeaving = e.IsLeaving || f.leaving[name]
	return e, ok
}

// KeeperPolicy returns what the keeper of the endpoint goes by.
func (f *Fleet) KeeperPolicy(name string) (keeper.Policy, bool) {
	p, ok := f.follower.Current().KeeperPolicy(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	p.IsLeaving = p.IsLeaving || f.leaving[name]
	return p, ok
}

// MembersChanged says that a newer view is in place.
func (f *Fleet) MembersChanged(v *messenger.View) {
	<-f.ready
	f.mu.Lock()
	f.view = v
	f.mu.Unlock()
	for _, m := range v.Members {
		if m.State == detector.Lost {
			f.parts.Granter.LoseVM(m.VM)
		}
	}
	f.recount()
	go f.parts.Reserver.DeclareMoved(v)
}

// HeadHeard says that a peer has a newer configuration.
func (f *Fleet) HeadHeard(head configurator.Head, vm string) {
	f.follower.See(head, vm)
}

// EndpointHeard is news of an endpoint.
func (f *Fleet) EndpointHeard(news detector.EndpointNews) {
	<-f.ready
	f.setLeaving(news.Endpoint, news.IsLeaving)
}

// EndpointListed says that the platform's list names an endpoint as leaving.
func (f *Fleet) EndpointListed(endpoint string) {
	<-f.ready
	f.announce(endpoint, true)
}

// announce spreads this VM's own news of an endpoint.
func (f *Fleet) announce(endpoint string, isLeaving bool) {
	f.mu.Lock()
	isKnown := f.leaving[endpoint] == isLeaving
	f.mu.Unlock()
	if isKnown {
		return
	}
	number := uint64(time.Now().UnixNano())
	f.parts.Membership.Tell(detector.EndpointSeen{
		News: detector.EndpointNews{Endpoint: endpoint, IsLeaving: isLeaving, Number: number},
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

// reconfigure tells every part of the configuration in force.
func (f *Fleet) reconfigure() {
	<-f.ready
	c := f.follower.Current()
	f.parts.Dispatcher.SetRetryBudget(c.Preset.Retry.OnlineBudget)
	f.parts.Routes.Tell(f.routerConfig(c))
	for _, e := range c.Snapshot.Endpoints {
		if known, _ := f.Endpoint(e.Name); known.IsLeaving {
			f.parts.Routes.Tell(router.Left{Endpoint: e.Name})
		}
	}
	f.parts.Granter.Reconfigure()
	f.parts.Membership.Tell(detector.HeadRaised{Head: c.Head})
	f.recount()
}

// recount works out what depends on how many VMs are live: kept endpoints, shares of limits and of the link.
func (f *Fleet) recount() {
	c := f.follower.Current()
	f.mu.Lock()
	view := f.view
	f.mu.Unlock()
	live := view.Live(f.vm.Region)
	kept := []declarer.Endpoint{}
	for _, e := range c.Snapshot.Endpoints {
		known, _ := f.Endpoint(e.Name)
		if e.Region == f.vm.Region && !known.IsLeaving && ranker.First(e.Name, live) == f.vm.ID {
			kept = append(kept, e)
		}
	}
	f.kept.Store(&kept)
	f.parts.Server.Reconfigure(len(view.Live("")), c.Preset.AccountScale)
	f.parts.Paced.SetBytesPerSecond(f.bulkRate(c, len(live)))
	f.parts.Runner.Poke()
}

// bulkRate is this VM's share of the link's bulk share, or no limit in the region that holds the store.
func (f *Fleet) bulkRate(c *follower.Current, live int) float64 {
	for _, r := range c.Snapshot.Regions {
		if r.HoldsStore && r.Name == f.vm.Region {
			return 0
		}
	}
	for _, l := range c.Snapshot.Links {
		if l.Regions[0] == f.vm.Region || l.Regions[1] == f.vm.Region {
			return l.MegabitsPerSec * megabitBytes * l.BulkShare / float64(max(1, live))
		}
	}
	return 0
}

func (f *Fleet) routerConfig(c *follower.Current) router.Configured {
	in := router.Configured{Region: f.vm.Region, AvailabilityZone: f.vm.AvailabilityZone}
	for _, e := range c.Snapshot.Endpoints {
		serves := e.Models
		if e.Service != "" {
			serves = []string{"service/" + e.Service}
		}
		in.Endpoints = append(in.Endpoints, router.Endpoint{
			Name: e.Name, Region: e.Region, AvailabilityZone: e.AvailabilityZone, Serves: serves, Slots: e.Slots,
		})
	}
	f.mu.Lock()
	live := len(f.view.Live(f.vm.Region))
	f.mu.Unlock()
	for _, l := range c.Snapshot.Links {
		for i, region := range l.Regions {
			if region == f.vm.Region {
				share := l.MegabitsPerSec * megabitBytes * l.OnlineOverShare / float64(max(1, live))
				in.Links = append(in.Links, router.Link{Region: l.Regions[1-i], OneWay: l.OneWayDelay, BytesPerSecond: share})
			}
		}
	}
	return in
}
