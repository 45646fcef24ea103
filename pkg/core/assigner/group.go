package assigner

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// maxGroupEndpoints bounds the endpoints of a group, and with it the messages that its assigner handles.
const maxGroupEndpoints = 64

// GroupKey identifies a group in messages between VMs.
type GroupKey uint64

// Group is a set of endpoints of one service in one region, whose slots one VM assigns.
type Group struct {
	// Name is the service, the region and the number of the group within them.
	Name string
	// Service is the service of all endpoints of the group, and Region the region they are in.
	Service, Region string
	Endpoints       []registrar.Endpoint
}

// Key returns the group's key.
func (g Group) Key() GroupKey { return GroupKey(xxhash.Sum64String(g.Name)) }

// GroupsOf divides the endpoints of one service into groups; regions holds the region of each availability zone. VMs that know
// the same endpoints form the same groups.
func GroupsOf(service string, endpoints []registrar.Endpoint, regions map[string]string) []Group {
	// Sizes are counted first: endpoints are large values, and growing lists of thousands would copy them several times.
	counts := map[string]int{}
	for _, e := range endpoints {
		counts[regions[e.AvailabilityZone]]++
	}
	byRegion := make(map[string][]registrar.Endpoint, len(counts))
	for region, n := range counts {
		byRegion[region] = make([]registrar.Endpoint, 0, n)
	}
	for _, e := range endpoints {
		region := regions[e.AvailabilityZone]
		byRegion[region] = append(byRegion[region], e)
	}
	var groups []Group
	for region, list := range byRegion {
		groups = append(groups, divide(service, region, list)...)
	}
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return groups
}

// divide divides the endpoints of one region. The number of groups is a power of two, so that it seldom changes, and each
// endpoint keeps its group while it stays the same.
func divide(service, region string, endpoints []registrar.Endpoint) []Group {
	n := 1
	for n*maxGroupEndpoints < len(endpoints) {
		n *= 2
	}
	lists, counts, places := make([][]registrar.Endpoint, n), make([]int, n), make([]int, len(endpoints))
	for i, e := range endpoints {
		places[i] = int(xxhash.Sum64String(e.ID) % uint64(n))
		counts[places[i]]++
	}
	for i, e := range endpoints {
		at := places[i]
		if lists[at] == nil {
			lists[at] = make([]registrar.Endpoint, 0, counts[at])
		}
		lists[at] = append(lists[at], e)
	}
	var groups []Group
	for i, list := range lists {
		if len(list) == 0 {
			continue
		}
		slices.SortFunc(list, func(a, b registrar.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
		groups = append(groups, Group{
			Name: service + "/" + region + "/" + strconv.Itoa(i), Service: service, Region: region, Endpoints: list,
		})
	}
	return groups
}
