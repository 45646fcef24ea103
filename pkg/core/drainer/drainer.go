package drainer

import "time"

// Drain holds the times of a VM's planned stop.
type Drain struct {
	// Begun is when the stop signal came; End is when the VM closes what is still open.
	Begun, End time.Time
	// Propagation is how long after Begun the load balancer may not know yet that the VM is not ready.
	Propagation time.Duration
}

// Accepts reports whether the VM accepts a request at time now that may take until deadline.
//
// A request that arrives before the load balancer knows of the stop is accepted even if its deadline is after the end.
func (d Drain) Accepts(now, deadline time.Time) bool {
	return now.Sub(d.Begun) <= d.Propagation || !deadline.After(d.End)
}
