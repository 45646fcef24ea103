package registrar

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is one incarnation of a model engine or of an instance of a plain service.
type Endpoint struct {
	// ID identifies the incarnation; another incarnation at the same address differs in ID or StartedAtMs.
	ID               string
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Slots            int
	IsDraining       bool
	// StartedAtMs is the start time in Unix milliseconds, 0 if unknown.
	StartedAtMs int64
	// Version is the version of the endpoint's row.
	Version int64
	// SoftwareVersion names the version of the endpoint's software; endpoints that name none have the same one.
	SoftwareVersion string
}

// Software identifies a software version of one service in messages and rows; zero stands for none.
type Software uint64

// Software returns what identifies the endpoint's service and software version.
func (e Endpoint) Software() Software {
	return Software(max(xxhash.Sum64String(e.Service+"\x00"+e.SoftwareVersion), 1))
}

// ConfigRow says where a VM's configuration comes from.
type ConfigRow struct {
	// Version is the store's version of the row, 0 while no configuration is known.
	Version int64
	// Source is "store" if the row was read there, and "peer" if another VM passed it on.
	Source string
	// ActiveSince is the time at which the configuration became active on this VM.
	ActiveSince time.Time
}

// Registry is a snapshot of the configuration and the endpoints.
type Registry struct {
	Config    *Config
	ConfigRow ConfigRow
	Endpoints map[string]Endpoint
	// Passed holds the endpoints that accepted requests at some time since the registry before this one, and were replaced or
	// removed.
	Passed []Endpoint
	// HasGap says that other endpoints may have come and gone unseen before this registry.
	HasGap bool
	// index is shared by the snapshots that have the same endpoints.
	index *endpointIndex
}

// endpointIndex holds what is derived from a snapshot's endpoints.
type endpointIndex struct {
	// byService holds the endpoints of each service that are not draining.
	byService map[string][]Endpoint
	// software holds the software versions of these endpoints in ascending order, by service.
	software map[string][]Software
}

// NewRegistry returns a snapshot; cfg is nil while no configuration is known.
func NewRegistry(cfg *Config, endpoints map[string]Endpoint) *Registry {
	x := &endpointIndex{byService: map[string][]Endpoint{}, software: map[string][]Software{}}
	counts := map[string]int{}
	for _, e := range endpoints {
		counts[e.Service]++
	}
	type version struct{ service, software string }
	seen := map[version]bool{}
	for _, e := range endpoints {
		if e.IsDraining {
			continue
		}
		if x.byService[e.Service] == nil {
			x.byService[e.Service] = make([]Endpoint, 0, counts[e.Service])
		}
		x.byService[e.Service] = append(x.byService[e.Service], e)
		if v := (version{e.Service, e.SoftwareVersion}); !seen[v] {
			seen[v] = true
			list := x.software[e.Service]
			if i, ok := slices.BinarySearch(list, e.Software()); !ok {
				x.software[e.Service] = slices.Insert(list, i, e.Software())
			}
		}
	}
	return &Registry{Config: cfg, Endpoints: endpoints, index: x}
}

// WithConfig returns a snapshot of the same endpoints with another configuration.
func (r *Registry) WithConfig(cfg *Config) *Registry {
	return &Registry{Config: cfg, Endpoints: r.Endpoints, index: r.index}
}

// HasEndpointsOf reports whether the snapshot shares its endpoints with the other one, which may be nil.
func (r *Registry) HasEndpointsOf(other *Registry) bool {
	return other != nil && r.index == other.index
}

// SoftwareOf returns the software versions of the service's endpoints that are not draining, in ascending order; the caller
// must not change the list.
func (r *Registry) SoftwareOf(service string) []Software { return r.index.software[service] }

// IsMixed reports whether endpoints of several software versions of a service accept requests.
func (r *Registry) IsMixed() bool {
	for _, list := range r.index.software {
		if len(list) > 1 {
			return true
		}
	}
	return false
}

// EndpointsOf returns the service's endpoints that are not draining; the caller must not change the list.
func (r *Registry) EndpointsOf(service string) []Endpoint {
	return r.index.byService[service]
}

// Services returns the names of the services that have endpoints which are not draining.
func (r *Registry) Services() []string { return slices.Sorted(maps.Keys(r.index.byService)) }

// IsUsable reports whether requests may still be sent to this incarnation of the endpoint.
func (r *Registry) IsUsable(e Endpoint) bool {
	current, ok := r.Endpoints[e.ID]
	return ok && !current.IsDraining && current.Address == e.Address && current.StartedAtMs == e.StartedAtMs
}

// IsReady reports whether a configuration and at least one endpoint are known.
func (r *Registry) IsReady() bool {
	return r != nil && r.Config != nil && len(r.Endpoints) > 0
}
