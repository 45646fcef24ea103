//go:build knownred

package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
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
