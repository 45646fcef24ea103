package registrar

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestIdleConnectionsOfAllVMsFitTheLimit shares an endpoint's connections among the VMs of both users, and of letter 1.
func TestIdleConnectionsOfAllVMsFitTheLimit(t *testing.T) {
	tests := []struct {
		name              string
		limit, slots, vms int
		want              int
	}{
		{"few VMs keep a connection a slot", 360, 8, 12, 8},
		{"71 VMs", 490, 8, 71, 6},
		{"85 VMs before an application", 490, 6, 85, 5},
		{"360 VMs", 490, 8, 360, 1},
		{"more VMs than connections", 96, 6, 100, 0},
		{"fewer connections than slots ask for", 10, 8, 1, 0},
		{"no limit stated", 0, 8, 400, 8},
		{"no VM known yet", 100, 8, 0, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := &Config{Services: map[string]Service{"s": {Name: "s", MaxConnections: tt.limit}}}
			r := NewRegistry(cfg, map[string]Endpoint{"e": {ID: "e", Service: "s", Slots: tt.slots}})
			share := r.IdleShare("e", tt.vms)
			assert.Equal(t, tt.want, share)
			if tt.limit > 0 {
				assert.LessOrEqual(t, share*tt.vms+busyPerSlot*tt.slots, max(tt.limit, busyPerSlot*tt.slots))
			}
			assert.Zero(t, r.IdleShare("gone", tt.vms))
		})
	}
}
