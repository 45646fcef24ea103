package registrar

// busyConnectionsPerSlot is how many connections of an endpoint are reserved per slot for requests: one running, one
// waiting.
const busyConnectionsPerSlot = 2

// IdleShare returns how many idle connections to the endpoint each of the VMs may keep; vms is the number of VMs.
//
// An endpoint resets connections beyond its limit, and a request that was written to such a connection may have run. The
// slots bound the connections with requests; the VMs share the rest of the limit. No VM keeps more connections than the
// endpoint has slots.
func (r *Registry) IdleShare(endpoint string, vms int) int {
	e, ok := r.Endpoints[endpoint]
	if !ok || r.Config == nil {
		return 0
	}
	limit := r.Config.Services[e.Service].MaxConnections
	if limit <= 0 {
		return e.Slots
	}
	return min(e.Slots, max(0, limit-busyConnectionsPerSlot*e.Slots)/max(1, vms))
}
