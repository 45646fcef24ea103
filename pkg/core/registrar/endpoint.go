package registrar

import "net/netip"

// Endpoint is one incarnation of a model engine or of one instance of a plain service.
type Endpoint struct {
	// ID names the incarnation; another one at the same address has another ID or another Born.
	ID               string
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Slots            int
	IsDraining       bool
	// Born is the Unix millisecond of the start, 0 where it isn't told.
	Born int64
	// Version is the version of the row that said so.
	Version int64
}

// Registry is a snapshot of the configuration and the endpoints.
type Registry struct {
	Config    *Config
	Endpoints map[string]Endpoint
	// byService holds the endpoints of each service that take requests.
	byService map[string][]Endpoint
}

// NewRegistry returns a snapshot; cfg may be nil while no configuration is known.
func NewRegistry(cfg *Config, endpoints map[string]Endpoint) *Registry {
	r := &Registry{Config: cfg, Endpoints: endpoints, byService: map[string][]Endpoint{}}
	for _, e := range endpoints {
		if !e.IsDraining {
			r.byService[e.Service] = append(r.byService[e.Service], e)
		}
	}
	return r
}

// Of returns the service's endpoints that take requests; the caller must not change the list.
func (r *Registry) Of(service string) []Endpoint {
	return r.byService[service]
}

// IsUsable says whether requests may still be sent to the incarnation.
func (r *Registry) IsUsable(e Endpoint) bool {
	now, ok := r.Endpoints[e.ID]
	return ok && !now.IsDraining && now.Address == e.Address && now.Born == e.Born
}

// IsReady says whether there is a configuration and an endpoint to send requests to.
func (r *Registry) IsReady() bool {
	return r != nil && r.Config != nil && len(r.Endpoints) > 0
}
