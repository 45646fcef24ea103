package assembler_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/isolator"
)

// quarantine stores strikes against the part, of endpoints that ended that many seconds ago, and waits until all VMs know that it
// is quarantined.
func (f *testFleet) quarantine(part string, ago ...int) {
	f.t.Helper()
	now := time.Now()
	for n, s := range ago {
		at := now.Add(-time.Duration(s) * time.Second).UnixMilli()
		f.store.Put("quarantine", "", fmt.Sprintf("%s/e-%d@1", part, n), fmt.Appendf(nil, "0@%d", at))
	}
	for _, vm := range f.vms {
		require.Eventually(f.t, func() bool { return vm.isolator.Check([]string{part}).Part == part }, maxWait, time.Millisecond,
			"%s does not know that the part is quarantined", vm.name)
	}
}

// submitHeld submits items with a quarantined part to the first VM, and checks that the quarantine holds them at first.
func (f *testFleet) submitHeld(items []jobItem) time.Time {
	f.t.Helper()
	require.Equal(f.t, http.StatusAccepted, f.submit(f.vms[0], newID("job"), items).status)
	accepted := time.Now()
	require.Never(f.t, func() bool { return f.begun(items) > 0 }, time.Second, 10*time.Millisecond, "the items are not held")
	return accepted
}

// itemsWith returns n items whose prompts share the part.
func itemsWith(part string, n int) []jobItem {
	items := newItems(n)
	for n := range items {
		items[n].Headers["X-Prompt-Prefix"] = part + fmt.Sprintf(":200,f%d:150", n)
	}
	return items
}

// TestItemIsNotLeftLyingAfterAnEndUnderItsProbe quarantines a sound item itself, and ends one more endpoint under its probe.
func TestItemIsNotLeftLyingAfterAnEndUnderItsProbe(t *testing.T) {
	for _, vms := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, vms)
			f.awaitEndpoints()
			f.awaitPeers()
			items := newItems(1)
			f.quarantine(quarantiner.RequestPart(http.MethodPost, testHost, items[0].Path, items[0].Body), 12, 11, 10, 6)
			f.assertBegun(items, f.submitHeld(items), maxLie)
		})
	}
}

// lastPartOf returns a part in whose order of live VMs the VM is the last one.
func (f *testFleet) lastPartOf(vm *testVM) string {
	var live []gossiper.VMIncarnation
	for n, other := range f.vms {
		live = append(live, gossiper.VMIncarnation{Name: other.name, Incarnation: int64(n)})
	}
	for n := 0; ; n++ {
		part := fmt.Sprintf("%08x", n)
		rank, vms := gossiper.RankOf(isolator.Table+" "+part, live, int64(slices.Index(f.vms, vm)))
		if rank == vms-1 {
			return part
		}
	}
}

// TestItemsAreNotLeftLyingBehindASharedPart quarantines a part that sound items share, and ends further endpoints under its
// probes. The VM that holds the items is the last one in the part's order.
func TestItemsAreNotLeftLyingBehindASharedPart(t *testing.T) {
	for _, tt := range []struct {
		name string
		vms  int
		ago  []int
		// within is longer than maxLie after two ends: the users count no item as lying that failed within the last 20 s.
		within time.Duration
	}{
		{name: "12 VMs, no end under probes", vms: 12, ago: []int{12, 11, 10}, within: maxLie},
		{name: "one VM, one end under probes", vms: 1, ago: []int{12, 11, 10, 6}, within: maxLie},
		{name: "3 VMs, one end under probes", vms: 3, ago: []int{12, 11, 10, 6}, within: maxLie},
		{name: "9 VMs, one end under probes", vms: 9, ago: []int{12, 11, 10, 6}, within: maxLie},
		{name: "one VM, two ends under probes", vms: 1, ago: []int{28, 27, 26, 22, 4}, within: 4 * maxLie},
		{name: "3 VMs, two ends under probes", vms: 3, ago: []int{28, 27, 26, 22, 4}, within: 4 * maxLie},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, tt.vms)
			f.awaitEndpoints()
			f.awaitPeers()
			part := f.lastPartOf(f.vms[0])
			items := itemsWith(part, 6)
			f.quarantine(part, tt.ago...)
			f.assertBegun(items, f.submitHeld(items), tt.within)
		})
	}
}
