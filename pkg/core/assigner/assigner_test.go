package assigner

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

var t0 = time.Unix(1_000_000, 0)

var regions = map[string]string{"syd-a": "syd", "syd-b": "syd", "norr-a": "norr"}

type reportStep struct {
	VM       string            `yaml:"vm"`
	Loads    map[string]string `yaml:"loads"`
	Zone     string            `yaml:"zone"`
	Waiting  []time.Duration   `yaml:"waiting"`
	Acked    int               `yaml:"acked"`
	Sequence uint64            `yaml:"sequence"`
	Failed   []string          `yaml:"failed"`
}

type step struct {
	After  time.Duration `yaml:"after"`
	Report *reportStep   `yaml:"report"`
	Ask    string        `yaml:"ask"`
	// Limits are those that endpoints name, in requests a second; a negative one is lifted.
	Limits  map[string]float64 `yaml:"limits"`
	Exclude []string           `yaml:"exclude"`
	Want    []string           `yaml:"want"`
}

type script struct {
	Name      string   `yaml:"name"`
	Endpoints []string `yaml:"endpoints"`
	// IsNew says that the assigner has just taken over.
	IsNew bool   `yaml:"isNew"`
	Steps []step `yaml:"steps"`
}

func endpointsOf(names ...string) []registrar.Endpoint {
	var list []registrar.Endpoint
	for _, name := range names {
		list = append(list, registrar.Endpoint{ID: name, Service: "llm", AvailabilityZone: "syd-a", Slots: 8})
	}
	return list
}

// player plays a script; orders holds the numbers of the orders given to each VM, in order.
type player struct {
	assigner *Assigner
	now      time.Time
	sequence uint64
	orders   map[string][]uint64
}

func (p *player) reported(t *testing.T, r *reportStep) Reported {
	t.Helper()
	p.sequence++
	in := Reported{
		VM: r.VM, AvailabilityZone: cmp.Or(r.Zone, "syd-a"), Incarnation: 1, Sequence: p.sequence,
		Report: placer.Report{VM: r.VM, Waiting: r.Waiting, Loads: map[placer.Key]placer.Load{}},
	}
	if r.Sequence > 0 {
		in.Sequence = r.Sequence
	}
	if r.Acked > 0 {
		in.Acknowledged = p.orders[r.VM][r.Acked-1]
	}
	for name, text := range r.Loads {
		l := placer.Load{}
		_, err := fmt.Sscanf(text, "%d+%d", &l.Online, &l.Batch)
		require.NoError(t, err)
		in.Report.Loads[placer.KeyOf(name)] = l
	}
	for _, name := range r.Failed {
		in.Observations = append(in.Observations, placer.Observation{Key: placer.KeyOf(name), HasFailed: true})
	}
	return in
}

func (p *player) named(limits map[string]float64) RateLimitsNamed {
	in := RateLimitsNamed{}
	for name, perSecond := range limits {
		l := placer.RateLimit{Key: placer.KeyOf(name), At: p.now}
		if perSecond >= 0 {
			l.IsNamed, l.PerSecond = true, perSecond
		}
		in.Limits = append(in.Limits, l)
	}
	return in
}

func (p *player) handle(in Input) []string {
	var got []string
	for _, out := range p.assigner.Handle(p.now, in) {
		switch out := out.(type) {
		case Placed:
			if s, ok := out.Decision.(placer.Send); ok {
				p.orders[out.VM] = append(p.orders[out.VM], out.Order)
				got = append(got, out.VM+" sends to "+s.Endpoint.ID)
			} else {
				got = append(got, out.VM+" is refused")
			}
		case BatchOffered:
			p.orders[out.VM] = append(p.orders[out.VM], out.Order)
			got = append(got, out.VM+" may start at "+out.Endpoint.ID)
		case PreemptionOrdered:
			p.orders[out.VM] = append(p.orders[out.VM], out.Order)
			got = append(got, fmt.Sprintf("%s stops %d at %s", out.VM, out.Items, p.assigner.ids[out.Key]))
		}
	}
	return got
}

func TestScripts(t *testing.T) {
	text, err := os.ReadFile("testdata/scripts.yaml")
	require.NoError(t, err)
	var scripts []script
	require.NoError(t, yaml.UnmarshalWithOptions(text, &scripts, yaml.DisallowUnknownField()))
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			p := &player{assigner: New(regions, rand.New(rand.NewPCG(1, 1)), 0), now: t0, orders: map[string][]uint64{}}
			p.handle(Configured{Endpoints: endpointsOf(s.Endpoints...)})
			if !s.IsNew {
				p.now = p.now.Add(takeOverTime)
			}
			for i, st := range s.Steps {
				p.now = p.now.Add(st.After)
				var got []string
				switch {
				case st.Report != nil:
					got = p.handle(p.reported(t, st.Report))
				case st.Ask != "":
					in := Asked{VM: st.Ask, Number: 1, Request: placer.Request{
						Route: registrar.Route{Name: "r", Objective: 300 * time.Millisecond}, AvailabilityZone: "syd-a", Left: 5 * time.Second,
					}}
					for _, name := range st.Exclude {
						in.Excluded = append(in.Excluded, placer.KeyOf(name))
					}
					got = p.handle(in)
				case st.Limits != nil:
					got = p.handle(p.named(st.Limits))
				default:
					got = p.handle(Woken{})
				}
				assert.Equal(t, st.Want, got, "step %d", i)
			}
		})
	}
}

// TestWaitingVMsFillFreeSlots covers low online traffic: 9 VMs with many waiting batch items find 6 free slots, and together they
// start exactly 6 items.
func TestWaitingVMsFillFreeSlots(t *testing.T) {
	p := &player{assigner: New(regions, rand.New(rand.NewPCG(1, 1)), 0), now: t0, orders: map[string][]uint64{}}
	p.handle(Configured{Endpoints: endpointsOf("e")})
	p.now = p.now.Add(takeOverTime)
	p.handle(p.reported(t, &reportStep{VM: "online", Loads: map[string]string{"e": "2+0"}}))
	for vm := range 9 {
		p.handle(p.reported(t, &reportStep{VM: fmt.Sprint(vm), Waiting: make([]time.Duration, 10)}))
	}
	p.now = p.now.Add(100 * time.Millisecond)
	p.handle(Woken{})
	started := 0
	for _, orders := range p.orders {
		started += len(orders)
	}
	assert.Equal(t, 6, started)
}

// TestGroups checks that VMs form the same groups whatever the order of the endpoints, that no group is too large, and that an
// endpoint that comes or goes moves no other one. TestItemsGetSlotsAtTheirSoftwareVersion guards against items that wait beside
// free slots, since each slot that is offered to them is at another software version than the one that began their output.
func TestItemsGetSlotsAtTheirSoftwareVersion(t *testing.T) {
	endpoints := endpointsOf("e1", "e2", "e3")
	endpoints[2].SoftwareVersion = "v2"
	v2 := endpoints[2].Software()
	a := New(regions, rand.New(rand.NewPCG(1, 1)), 0)
	a.Handle(t0, Configured{Endpoints: endpoints})
	report := placer.Report{VM: "v", Waiting: make([]time.Duration, 4), Bound: []registrar.Software{v2, 99, 0, v2}}
	a.Handle(t0, Reported{VM: "v", AvailabilityZone: "syd-a", Incarnation: 1, Sequence: 1})
	now := t0.Add(takeOverTime)
	a.Handle(now, Reported{VM: "v", AvailabilityZone: "syd-a", Incarnation: 1, Sequence: 2, Report: report})
	now = now.Add(100 * time.Millisecond)
	at := map[string]int{}
	for _, out := range a.Handle(now, Woken{}) {
		at[out.(BatchOffered).Endpoint.ID]++
	}
	assert.Equal(t, 2, at["e3"], "the items that need its version: %v", at)
	assert.Equal(t, 1, at["e1"]+at["e2"], "the item of the version that no endpoint has must not hold the others back: %v", at)

	for range 10 {
		out := a.Handle(now, Asked{VM: "v", Number: 1, Request: placer.Request{
			Route: registrar.Route{Name: "r"}, AvailabilityZone: "syd-a", Left: time.Second, Software: option.Some(v2),
		}})
		i := slices.IndexFunc(out, func(o Output) bool {
			_, ok := o.(Placed)
			return ok
		})
		require.GreaterOrEqual(t, i, 0)
		assert.Equal(t, "e3", out[i].(Placed).Decision.(placer.Send).Endpoint.ID)
	}
}

func TestGroups(t *testing.T) {
	var endpoints []registrar.Endpoint
	for i := range 600 {
		zone := []string{"syd-a", "syd-b", "norr-a"}[i%3]
		endpoints = append(endpoints, registrar.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "llm", AvailabilityZone: zone})
	}
	groups := GroupsOf("llm", endpoints, regions)
	groupOf := map[string]string{}
	for _, g := range groups {
		assert.LessOrEqual(t, len(g.Endpoints), 2*maxGroupEndpoints)
		for _, e := range g.Endpoints {
			assert.Equal(t, g.Region, regions[e.AvailabilityZone])
			groupOf[e.ID] = g.Name
		}
	}
	assert.Len(t, groupOf, 600)
	assert.Len(t, groups, 12)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	assert.Equal(t, groups, GroupsOf("llm", endpoints, regions))
	for _, g := range GroupsOf("llm", endpoints[1:], regions) {
		for _, e := range g.Endpoints {
			assert.Equal(t, groupOf[e.ID], g.Name)
		}
	}
}

// modelVM is a VM of TestCountsOfVMsAndAssignerAgree: it counts what it was granted, and reports it.
type modelVM struct {
	loads    map[placer.Key]placer.Load
	pending  int
	acked    uint64
	sequence uint64
}

// TestCountsOfVMsAndAssignerAgree draws traffic of three VMs, whose messages may be lost or repeated. Once all VMs have reported
// and the orders have expired, the counts that the assigner decides by are theirs.
func TestCountsOfVMsAndAssignerAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, now := New(regions, rand.New(rand.NewPCG(1, 1)), 0), t0
		endpoints := endpointsOf("e1", "e2")
		a.Handle(now, Configured{Endpoints: endpoints})
		vms := map[string]*modelVM{}
		names := []string{"v1", "v2", "v3"}
		for _, name := range names {
			vms[name] = &modelVM{loads: map[placer.Key]placer.Load{}}
		}
		deliver := func(outputs []Output, isLost bool) {
			for _, out := range outputs {
				if isLost {
					continue
				}
				switch out := out.(type) {
				case Placed:
					if s, ok := out.Decision.(placer.Send); ok {
						vm, k := vms[out.VM], placer.KeyOf(s.Endpoint.ID)
						vm.loads[k] = placer.Load{Online: vm.loads[k].Online + 1, Batch: vm.loads[k].Batch}
						vm.acked = max(vm.acked, out.Order)
					}
				case BatchOffered:
					vm, k := vms[out.VM], placer.KeyOf(out.Endpoint.ID)
					vm.loads[k] = placer.Load{Online: vm.loads[k].Online, Batch: vm.loads[k].Batch + 1}
					vm.pending = max(vm.pending-1, 0)
					vm.acked = max(vm.acked, out.Order)
				case PreemptionOrdered:
					vm := vms[out.VM]
					vm.loads[out.Key] = placer.Load{Online: vm.loads[out.Key].Online, Batch: max(vm.loads[out.Key].Batch-out.Items, 0)}
					vm.acked = max(vm.acked, out.Order)
				}
			}
		}
		report := func(name string) Reported {
			vm := vms[name]
			vm.sequence++
			r := placer.Report{VM: name, Waiting: make([]time.Duration, vm.pending), Loads: map[placer.Key]placer.Load{}}
			for k, l := range vm.loads {
				r.Loads[k] = l
			}
			return Reported{
				VM: name, AvailabilityZone: "syd-a", Incarnation: 1, Sequence: vm.sequence, Acknowledged: vm.acked, Report: r,
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "vm")
			isLost := rapid.IntRange(0, 9).Draw(t, "loss") == 0
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				deliver(a.Handle(now, report(name)), isLost)
				deliver(a.Handle(now, Asked{VM: name, Number: 1, Request: placer.Request{
					Route: registrar.Route{Name: "r", Objective: 300 * time.Millisecond}, Left: 5 * time.Second,
				}}), isLost)
			case 1:
				vms[name].pending += rapid.IntRange(1, 4).Draw(t, "items")
				deliver(a.Handle(now, report(name)), isLost)
			case 2:
				for k, l := range vms[name].loads {
					vms[name].loads[k] = placer.Load{Online: max(l.Online-1, 0), Batch: max(l.Batch-1, 0)}
				}
			case 3:
				in := report(name)
				deliver(a.Handle(now, in), isLost)
				assert.Empty(t, a.Handle(now, in), "a repeated report has no effect")
			case 4:
				deliver(a.Handle(now, Woken{}), isLost)
			}
		}
		// Orders that these reports cause are lost.
		for _, name := range names {
			vms[name].pending = 0
			a.Handle(now, report(name))
		}
		now = now.Add(OfferTime)
		a.expire(now)
		for _, e := range endpoints {
			want := placer.Load{}
			for _, vm := range vms {
				want.Online += vm.loads[placer.KeyOf(e.ID)].Online
				want.Batch += vm.loads[placer.KeyOf(e.ID)].Batch
			}
			assert.Equal(t, want, a.placer.LoadAt(now, placer.KeyOf(e.ID)))
		}
	})
}
