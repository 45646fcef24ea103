package granter

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger"
)

// viewOf returns the view that vm-self has of a fleet of three VMs in one region.
func viewOf(states map[string]detector.State) *messenger.View {
	v := &messenger.View{Self: detector.Member{VM: "vm-self", Region: "syd"}}
	for _, vm := range []string{"vm-self", "vm-a", "vm-b"} {
		v.Members = append(v.Members, detector.Member{VM: vm, Region: "syd", State: states[vm]})
	}
	return v
}

// endpointAllocatedBy returns an endpoint whose first choice of allocator is the VM.
func endpointAllocatedBy(t *testing.T, v *messenger.View, vm string) string {
	t.Helper()
	for i := range 100 {
		name := fmt.Sprintf("engine-%d", i)
		if v.Allocators(name, "syd")[0] == vm {
			return name
		}
	}
	require.Fail(t, "no endpoint is allocated by "+vm)
	return ""
}

// TestSlotsMoveOnlyFromALostAllocator holds a slot granted by vm-b while vm-a, the first choice of allocator, is suspected,
// then marks both as lost: only then may the slot move.
func TestSlotsMoveOnlyFromALostAllocator(t *testing.T) {
	suspected := viewOf(map[string]detector.State{"vm-a": detector.Suspect})
	endpoint := endpointAllocatedBy(t, suspected, "vm-a")
	g := newTestGranter(&batchRecorder{}, 4)
	defer g.Stop()
	r := NewReserver(g, nil, nil, logrus.New(), nil)
	r.hold(Slot{Request: Request{ID: "x", Endpoint: endpoint, HoldUntil: time.Now().Add(time.Minute)}, Region: "syd", By: "vm-b"})

	r.DeclareMoved(suspected)
	assert.Equal(t, "vm-b", r.held["x"].By, "vm-b counts the slot, so the slot must be returned to vm-b")

	lost := viewOf(map[string]detector.State{"vm-a": detector.Lost, "vm-b": detector.Lost})
	r.DeclareMoved(lost)
	assert.Equal(t, "vm-self", r.held["x"].By, "with vm-b lost the slot must be declared to the new first choice")
}
