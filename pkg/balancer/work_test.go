package balancer

import (
	"maps"
	"math/rand/v2"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// TestOneChangeDefinesOneGroup guards against processor time that grows with all endpoints for a change of one of them.
func TestOneChangeDefinesOneGroup(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	topology := placer.Topology{AvailabilityZone: "syd-a", Regions: map[string]string{"syd-a": "syd"}}
	b := New(Config{VM: "v0", Topology: topology}, nil, rand.New(rand.NewPCG(1, 2)), log)
	r := testRegistry(3003)
	b.Configure(r)
	before := map[*group]map[placer.Key]registrar.Endpoint{}
	for _, g := range b.byGroup {
		before[g] = g.endpoints
	}
	endpoints := maps.Clone(r.Endpoints)
	e := endpoints["e7"]
	e.Slots = 9
	endpoints["e7"] = e
	b.Configure(registrar.NewRegistry(r.Config, endpoints))
	defined := 0
	for _, g := range b.byGroup {
		old, ok := before[g]
		assert.True(t, ok, "group %s is new", g.Name)
		// A map that was kept shows an entry that is added to the old one.
		old[0] = registrar.Endpoint{}
		if _, isKept := g.endpoints[0]; !isKept {
			defined++
		}
	}
	assert.Equal(t, 1, defined)
	assert.Equal(t, 9, b.byEndpoint[placer.KeyOf("e7")].endpoints[placer.KeyOf("e7")].Slots)
	assert.Len(t, b.byEndpoint, 3003)
}

// BenchmarkOneChange measures a change of one of 3,003 endpoints.
func BenchmarkOneChange(b *testing.B) {
	log, _ := logtest.NewNullLogger()
	topology := placer.Topology{AvailabilityZone: "syd-a", Regions: map[string]string{"syd-a": "syd"}}
	balancer := New(Config{VM: "v0", Topology: topology}, nil, rand.New(rand.NewPCG(1, 2)), log)
	endpoints := testRegistry(3003).Endpoints
	b.ReportAllocs()
	for i := range b.N {
		next := maps.Clone(endpoints)
		e := next["e7"]
		e.Slots = i
		next["e7"] = e
		balancer.Configure(registrar.NewRegistry(&registrar.Config{}, next))
	}
}
