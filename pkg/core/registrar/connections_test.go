package registrar

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestIdleConnectionsOfAllVMsFitTheLimit checks that the idle connections of all VMs, together with the busy ones, stay
// within an endpoint's limit, for fleets of up to 400 VMs.
func TestIdleConnectionsOfAllVMsFitTheLimit(t *testing.T) {
	tests := []struct {
		name              string
		limit, slots, vms int
		want              int
	}{
		{"few VMs keep one connection per slot", 360, 8, 12, 8},
		{"71 VMs", 490, 8, 71, 6},
		{"85 VMs and 6 slots", 490, 6, 85, 5},
		{"360 VMs", 490, 8, 360, 1},
		{"more VMs than connections", 96, 6, 100, 0},
		{"limit below the connections reserved for slots", 10, 8, 1, 0},
		{"no limit stated", 0, 8, 400, 8},
		{"no VM known", 100, 8, 0, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := &Config{Services: map[string]Service{"s": {Name: "s", MaxConnections: tt.limit}}}
			r := NewRegistry(cfg, map[string]Endpoint{"e": {ID: "e", Service: "s", Slots: tt.slots}})
			share := r.IdleShare("e", tt.vms)
			assert.Equal(t, tt.want, share)
			if tt.limit > 0 {
				assert.LessOrEqual(t, share*tt.vms+busyConnectionsPerSlot*tt.slots, max(tt.limit, busyConnectionsPerSlot*tt.slots))
			}
			assert.Zero(t, r.IdleShare("gone", tt.vms))
		})
	}
}
