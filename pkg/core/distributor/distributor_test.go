package distributor

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func names(n int) []string {
	vms := make([]string, n)
	for i := range vms {
		vms[i] = fmt.Sprintf("vm-%d", i)
	}
	return vms
}

// TestStoreIsReadByAFewAndNoVMServesMany guards against bytes over the link, or calls at one VM, that grow with the VMs.
func TestStoreIsReadByAFewAndNoVMServesMany(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 9, 27, 50, 150, 300, 362} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			vms, readers, served := names(n), 0, map[string]int{}
			depth := map[string]int{}
			for range 3 {
				for _, vm := range vms {
					if p := PlaceOf(vm, n, vms); !p.IsReader {
						depth[vm] = depth[p.Sources[0]] + 1
					}
				}
			}
			for _, vm := range vms {
				p := PlaceOf(vm, n, vms)
				if p.IsReader {
					readers++
					continue
				}
				assert.NotContains(t, p.Sources, vm)
				assert.GreaterOrEqual(t, len(p.Sources), min(3, n-1))
				served[p.Sources[0]]++
				assert.LessOrEqual(t, depth[vm], 2)
			}
			assert.Equal(t, min(3, n), readers)
			for vm, m := range served {
				assert.LessOrEqual(t, m, 24, vm)
			}
		})
	}
}

// TestLossOfARelayMovesOnlyItsOwn checks that VMs keep their source when another one is lost.
func TestLossOfARelayMovesOnlyItsOwn(t *testing.T) {
	vms := names(150)
	before, lost := map[string]string{}, ""
	for _, vm := range vms {
		if p := PlaceOf(vm, 150, vms); len(p.Sources) > 3 {
			before[vm] = p.Sources[0]
			lost = p.Sources[0]
		}
	}
	rest := slices.DeleteFunc(slices.Clone(vms), func(vm string) bool { return vm == lost })
	moved := 0
	for _, vm := range rest {
		p := PlaceOf(vm, 149, rest)
		if source, ok := before[vm]; ok && len(p.Sources) > 0 && source != lost && p.Sources[0] != source {
			moved++
		}
	}
	// The relay that replaces the lost one takes its share of all.
	assert.Less(t, moved, 25)
}

// TestSmallVMsServeNoOthers checks that VMs that are not capable are never sources.
func TestSmallVMsServeNoOthers(t *testing.T) {
	vms := names(40)
	for _, vm := range vms {
		for _, source := range PlaceOf(vm, 40, vms[:10]).Sources {
			assert.Contains(t, vms[:10], source)
		}
	}
	assert.True(t, PlaceOf("a", 5, nil).IsReader, "a VM that knows no capable one reads the store")
}

func follower(hasRows bool) (*Follower, Place, time.Time) {
	f := NewFollower("a")
	now := time.Unix(100, 0)
	if hasRows {
		f.AnsweredByStore()
	}
	return f, Place{Sources: []string{"x", "y", "z"}}, now
}

// TestStoreIsReadAfterTwoSourcesFailed checks the order of sources, and the return to them.
func TestStoreIsReadAfterTwoSourcesFailed(t *testing.T) {
	f, p, now := follower(true)
	assert.Equal(t, FromPeer{"x"}, f.Choose(now, p, false))
	f.Failed(now, "x")
	assert.Equal(t, FromPeer{"y"}, f.Choose(now, p, false))
	f.Failed(now, "y")
	assert.Equal(t, FromStore{}, f.Choose(now, p, false))
	assert.Equal(t, FromStore{}, f.Choose(now.Add(4*time.Second), p, false))
	assert.Equal(t, FromPeer{"x"}, f.Choose(now.Add(5*time.Second), p, false))
	assert.True(t, f.Answered(now, "x", "a", time.Second))
	assert.Equal(t, "x", f.Source())
}

// TestSourceThatLagsIsLeft guards against a VM that keeps sending to endpoints that left because its source hears nothing.
func TestSourceThatLagsIsLeft(t *testing.T) {
	f, p, now := follower(true)
	assert.True(t, f.Answered(now, "x", "a", MaxAge))
	assert.Equal(t, FromPeer{"x"}, f.Choose(now, p, false))
	assert.False(t, f.Answered(now, "x", "a", MaxAge+1))
	assert.Equal(t, FromPeer{"y"}, f.Choose(now, p, false))
	assert.Empty(t, f.Source())
}

// TestFullReadsDoNotFallOnTheStore checks that a VM that needs all rows asks its sources in turn while they read them, also if
// they all failed before, and then the store.
func TestFullReadsDoNotFallOnTheStore(t *testing.T) {
	for _, hasRows := range []bool{false, true} {
		t.Run(fmt.Sprint(hasRows), func(t *testing.T) {
			f, p, now := follower(hasRows)
			if hasRows {
				f.Failed(now, "x")
				f.Failed(now, "y")
				assert.Equal(t, FromStore{}, f.Choose(now, p, false))
			}
			for _, vm := range p.Sources {
				assert.Equal(t, FromPeer{vm}, f.Choose(now, p, true))
				f.Failed(now, vm)
			}
			assert.IsType(t, Wait{}, f.Choose(now, p, true))
			later := now.Add(fullAvoidTime)
			assert.Equal(t, FromPeer{"x"}, f.Choose(later, p, true))
			f.Failed(later, "x")
			assert.Equal(t, FromStore{}, f.Choose(now.Add(fullPatience), p, true))
		})
	}
}

// TestSourceOfTheOwnZoneIsSearched checks that a VM moves to a source in its zone, keeps it, and ends a search without one.
func TestSourceOfTheOwnZoneIsSearched(t *testing.T) {
	f, p, now := follower(true)
	assert.True(t, f.Answered(now, "x", "b", 0))
	assert.Equal(t, FromPeer{"y"}, f.Choose(now, p, false))
	assert.True(t, f.Answered(now, "y", "a", 0))
	assert.Equal(t, FromPeer{"y"}, f.Choose(now, p, false))
	f.Failed(now, "y")
	assert.Equal(t, FromPeer{"z"}, f.Choose(now, p, false))
	assert.True(t, f.Answered(now, "z", "c", 0))
	assert.Equal(t, FromPeer{"z"}, f.Choose(now, p, false), "y is avoided, x is no better")
	assert.Equal(t, FromPeer{"y"}, f.Choose(now.Add(avoidTime), p, false))

	f, _, _ = follower(true)
	p = Place{Sources: names(8)}
	for _, vm := range p.Sources[:maxZoneTries] {
		assert.Equal(t, FromPeer{vm}, f.Choose(now, p, false))
		assert.True(t, f.Answered(now, vm, "b", 0))
	}
	assert.Equal(t, FromPeer{p.Sources[maxZoneTries-1]}, f.Choose(now, p, false), "the last one is kept")
}
