package assembler_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEndpointThatSaysItLeavesGetsNoFurtherRequests makes an endpoint say in its answers that it leaves, while its row stays
// ready: the VM that passed such an answer on sends it nothing more, and neither do its peers once they have heard of it.
func TestEndpointThatSaysItLeavesGetsNoFurtherRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	id := newID("l")
	require.Equal(t, http.StatusOK, f.call(t.Context(), f.vms[0], http.MethodPost, "/book/1", id, "body").status)
	// A VM prefers the endpoint to which it has a connection.
	leaving := f.endpoint("i-app-1")
	if len(leaving.Runs()) == 0 {
		leaving = f.endpoint("i-app-2")
	}
	require.Len(t, leaving.Runs(), 1)
	leaving.Leave()
	// runs sends 10 requests through the VM and returns how many of them the endpoint ran.
	runs := func(vm *testVM) int {
		before := len(leaving.Runs())
		for range 10 {
			a := f.call(t.Context(), vm, http.MethodPost, "/book/1", newID("l"), "body")
			assert.Equal(t, http.StatusOK, a.status, a.body)
		}
		return len(leaving.Runs()) - before
	}
	require.Eventually(t, func() bool { return runs(f.vms[0]) > 0 }, maxWait, time.Millisecond)
	assert.Zero(t, runs(f.vms[0]))
	require.Eventually(t, func() bool { return runs(f.vms[1]) == 0 }, maxWait, 10*time.Millisecond)
	assert.Zero(t, runs(f.vms[1]))
}
