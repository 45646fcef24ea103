package distributor

import (
	"slices"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/hasher"
)

const (
	// readers is the number of VMs of a region that read the store: two may fail at once.
	readers = 3
	// fanOut is the number of VMs that hear from one relay on average.
	fanOut = 8
	// minShared is the number of VMs of a region from which on even a table of few rows is read by readers alone.
	minShared = 10
)

// Place is a VM's place in the distribution of a table.
type Place struct {
	// IsReader says that the VM reads the store.
	IsReader bool
	// Sources are the VMs to hear from otherwise, the preferred one first.
	Sources []string
	// VMs is the number of live VMs of the region.
	VMs int
}

// IsCrowded reports whether the copies of a single large row, one for each VM of the region, could fill the link to the store.
func (p Place) IsCrowded() bool { return p.VMs >= minShared }

// PlaceOf returns the place of a VM. vms is the number of live VMs of its region, capable those of them that may serve others.
// VMs with the same lists form the same order, in which each hears from VMs before it.
func PlaceOf(vm string, vms int, capable []string) Place {
	ranked := hasher.Rank("distribution", capable)
	first := ranked[:min(readers, len(ranked))]
	relays := ranked[len(first):min(len(ranked), len(first)+vms/(fanOut+1))]
	switch {
	case len(first) == 0 || slices.Contains(first, vm):
		return Place{IsReader: true, VMs: vms}
	case slices.Contains(relays, vm):
		return Place{Sources: hasher.Rank(vm, first), VMs: vms}
	default:
		return Place{Sources: append(hasher.Rank(vm, relays), hasher.Rank(vm, first)...), VMs: vms}
	}
}
