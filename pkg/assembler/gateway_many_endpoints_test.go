package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestManyEndpointsAreReadFromOtherVMs starts VMs in a deployment with more endpoints than a page of the store holds: three of
// them read the store, the others hear from these that an endpoint leaves, also once one of the three has stopped.
func TestManyEndpointsAreReadFromOtherVMs(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	for i := range 600 {
		f.store.Put("servers", "", fmt.Sprintf("i-other-%d", i), map[string]any{
			"service": "other", "address": fmt.Sprintf("10.9.%d.%d:80", i/200, 1+i%200), "zone": "syd-a", "slots": 8, "state": "ready",
		})
	}
	for range 5 {
		f.addVM()
	}
	f.awaitPeers()
	followers := func() []*testVM {
		var vms []*testVM
		for _, vm := range f.vms {
			if vm.endpoints.Source() != "" {
				vms = append(vms, vm)
			}
		}
		return vms
	}
	require.Eventually(t, func() bool { return len(followers()) == 2 }, maxWait, 20*time.Millisecond, "two VMs follow others")
	calls := map[*testVM]int64{}
	for _, vm := range followers() {
		calls[vm] = vm.endpoints.Counters.StoreCalls.Load()
	}
	drain := func(id string) {
		e := f.endpoint(id)
		f.store.Put("servers", "", e.ID, e.Entry("draining"))
		// Within this time it has to be known in a small deployment.
		time.Sleep(2500 * time.Millisecond)
		for _, vm := range f.vms {
			f.requireNoRequests(vm, e)
		}
	}
	drain("i-app-1")
	for vm, before := range calls {
		assert.Equal(t, before, vm.endpoints.Counters.StoreCalls.Load(), "%s does not call the store", vm.name)
		assert.Positive(t, vm.endpoints.Counters.PeerCalls.Load())
		assert.Less(t, vm.endpoints.Age(time.Now()), 2*time.Second)
	}
	stopped := followers()[0].endpoints.Source()
	for i, vm := range f.vms {
		if vm.name == stopped {
			require.NoError(t, vm.app.Stop(t.Context()))
			f.vms = append(f.vms[:i:i], f.vms[i+1:]...)
			break
		}
	}
	f.addEndpoint("i-app-3", "app")
	time.Sleep(time.Second)
	drain("i-app-2")
	assert.Equal(t, http.StatusOK, f.call(t.Context(), f.vms[0], http.MethodPost, "/status/1", newID("s"), "").status)
	assert.NotEmpty(t, followers())
}
