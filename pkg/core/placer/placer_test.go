package placer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

var t0 = time.Unix(1_000_000, 0)

// askScript is a request in a script.
type askScript struct {
	Objective time.Duration `yaml:"objective"`
	Left      time.Duration `yaml:"left"`
	Waited    time.Duration `yaml:"waited"`
	Account   string        `yaml:"account"`
}

// script is one case of testdata/scripts.yaml.
type script struct {
	Name      string                        `yaml:"name"`
	Endpoints map[string]string             `yaml:"endpoints"`
	Peers     map[string]map[string]string  `yaml:"peers"`
	Later     map[string]map[string]string  `yaml:"later"`
	Faults    map[string]map[string]float64 `yaml:"faults"`
	Engines   map[string]int                `yaml:"engines"`
	Own       map[string]int                `yaml:"own"`
	Failed    []string                      `yaml:"failed"`
	Slow      map[string]time.Duration      `yaml:"slow"`
	Tried     []string                      `yaml:"tried"`
	Wait      time.Duration                 `yaml:"wait"`
	Before    *askScript                    `yaml:"before"`
	Ask       *askScript                    `yaml:"ask"`
	Connected []string                      `yaml:"connected"`
	SlowFor   map[string]string             `yaml:"slowFor"`
	Room      string                        `yaml:"room"`
	Excess    string                        `yaml:"excess"`
	Want      string                        `yaml:"want"`
}

var topology = Topology{
	AvailabilityZone: "syd-a", Regions: map[string]string{"syd-a": "syd", "syd-b": "syd", "norr-a": "norr"},
}

func newTestPlacer(spread time.Duration, seed uint64) *Placer {
	return New(topology, spread, rand.New(rand.NewPCG(seed, 1)))
}

func endpointOf(name, zone string) registrar.Endpoint {
	return registrar.Endpoint{
		ID: name, Service: "llm", AvailabilityZone: zone, Slots: 8,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 1),
	}
}

// report builds a peer's report; loads holds counts as "online+batch" by endpoint.
func (s *script) report(t *testing.T, vm string, loads map[string]string) Report {
	t.Helper()
	r := Report{VM: vm, Loads: map[Key]Load{}, Faults: map[Key]float64{}}
	for name, text := range loads {
		l := Load{}
		_, err := fmt.Sscanf(text, "%d+%d", &l.Online, &l.Batch)
		require.NoError(t, err)
		r.Loads[KeyOf(name)] = l
	}
	if name, ok := s.SlowFor[vm]; ok {
		r.Slow = append(r.Slow, KeyOf(name))
	}
	for name, f := range s.Faults[vm] {
		r.Faults[KeyOf(name)] = f
	}
	return r
}

// play runs the script with a placer of this seed and returns the decision as text.
func (s *script) play(t *testing.T, seed uint64) string {
	t.Helper()
	p, now := newTestPlacer(SpreadExact, seed), t0
	var endpoints []registrar.Endpoint
	for name, zone := range s.Endpoints {
		e := endpointOf(name, zone)
		endpoints = append(endpoints, e)
		c := p.conditionOf(KeyOf(e.ID))
		c.slots, c.fullAt = e.Slots, now.Add(-freeDelay)
	}
	for vm := range s.Faults {
		p.ObserveReport(now, s.report(t, vm, nil))
	}
	for vm, loads := range s.Peers {
		p.ObserveReport(now, s.report(t, vm, loads))
	}
	id := uint64(0)
	for name, n := range s.Own {
		for range n {
			id++
			p.Start(now, name, Batch, id)
		}
	}
	for _, name := range s.Failed {
		p.End(now, p.Start(now, name, Online, 99), EndedFailed)
	}
	for name, first := range s.Slow {
		for range 20 {
			ticket := p.Start(now.Add(-first), name, Online, 98)
			p.FirstByte(now, ticket, false)
			p.End(now, ticket, EndedComplete)
		}
	}
	for name, n := range s.Engines {
		p.ObserveEngineLoad(now, KeyOf(name), n)
	}
	for vm, loads := range s.Later {
		now = now.Add(50 * time.Millisecond)
		p.ObserveReport(now, s.report(t, vm, loads))
	}
	now = now.Add(s.Wait)
	if s.Before != nil {
		p.Place(now, s.ask(s.Before, endpoints))
	}
	switch {
	case s.Room != "":
		e, ok := p.ChooseBatchEndpoint(now, s.Room, endpoints)
		if !ok {
			return "no room"
		}
		return "room " + e.ID
	case s.Excess != "":
		return fmt.Sprintf("excess %d", p.ExcessBatch(now, endpointOf(s.Excess, s.Endpoints[s.Excess]))[""])
	}
	switch d := p.Place(now, s.ask(s.Ask, endpoints)).(type) {
	case Send:
		if d.NeedsPreemption {
			return "preempt " + d.Endpoint.ID
		}
		return "send " + d.Endpoint.ID
	case Refuse:
		if d.MayWait {
			return "hold"
		}
		assert.LessOrEqual(t, d.RetryAfter, s.Ask.Left/3, "the retry-after time is at most a third of the time until the deadline")
		return "refuse"
	default:
		return "nothing"
	}
}

func (s *script) ask(a *askScript, endpoints []registrar.Endpoint) Request {
	ask := Request{
		Route:      registrar.Route{Name: "r", Objective: a.Objective, Kind: registrar.KindStream},
		Candidates: endpoints, Left: a.Left, Waited: a.Waited, Account: a.Account, Tried: map[string]bool{}, Connected: map[Key]bool{},
	}
	for _, name := range s.Connected {
		ask.Connected[KeyOf(name)] = true
	}
	for _, name := range s.Tried {
		ask.Tried[name] = true
	}
	return ask
}

// TestScripts runs each script with several seeds: the decision must not depend on random draws.
func TestScripts(t *testing.T) {
	text, err := os.ReadFile("testdata/scripts.yaml")
	require.NoError(t, err)
	var scripts []script
	require.NoError(t, yaml.UnmarshalWithOptions(text, &scripts, yaml.DisallowUnknownField()))
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			for seed := range uint64(20) {
				assert.Equal(t, s.Want, s.play(t, seed))
			}
		})
	}
}

// TestVMsWithoutCountsDoNotHerd covers a traffic spike while no assigner replies: 70 VMs know only their own counts, and if each
// chose the same endpoint, that endpoint would get every request.
func TestVMsWithoutCountsDoNotHerd(t *testing.T) {
	const vms, endpoints = 70, 22
	var candidates []registrar.Endpoint
	for i := range endpoints {
		candidates = append(candidates, endpointOf(fmt.Sprintf("e%d", i), "syd-a"))
	}
	got := map[string]int{}
	for vm := range vms {
		d := newTestPlacer(SpreadAlone, uint64(vm)).Place(t0, Request{
			Route: registrar.Route{Name: "r", Objective: 300 * time.Millisecond}, Candidates: candidates, Left: 5 * time.Second,
		})
		got[d.(Send).Endpoint.ID]++
	}
	for id, n := range got {
		assert.LessOrEqual(t, n, 14, "endpoint %s got %d of %d requests", id, n, vms)
	}
}
