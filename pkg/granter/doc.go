// Package granter runs the slot allocators of this VM and requests slots from the allocators of other VMs.
package granter
