package registrar

// busyPerSlot is how many connections with requests an endpoint is left room for by each slot: one that runs and one
// that waits.
const busyPerSlot = 2

// IdleShare returns how many idle connections each of so many VMs may keep to an endpoint.
//
// An endpoint resets connections beyond its limit, and a request that was written on such a one may have run. The slots
// bound the connections with requests; what the limit leaves beside them is shared. No VM keeps more than the endpoint
// has slots.
func (r *Registry) IdleShare(endpoint string, vms int) int {
	e, ok := r.Endpoints[endpoint]
	if !ok || r.Config == nil {
		return 0
	}
	limit := r.Config.Services[e.Service].MaxConnections
	if limit <= 0 {
		return e.Slots
	}
	return min(e.Slots, max(0, limit-busyPerSlot*e.Slots)/max(1, vms))
}
