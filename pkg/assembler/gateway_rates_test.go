package assembler_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/ratelimiter"
)

// TestRateOfAccountHoldsOverAllVMs sends an account's requests to all VMs at once. It guards against VMs whose messages about
// rates don't reach one another's sharers, so that each admits the rate by itself, or none does.
func TestRateOfAccountHoldsOverAllVMs(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	calm, hot := ratelimiter.Account{Name: "calm", Rate: 100, Burst: 100}, ratelimiter.Account{Name: "hot", Rate: 1, Burst: 1}
	require.Eventually(t, func() bool {
		for _, vm := range f.vms {
			if _, ok := vm.rateSharer.Allow(t.Context(), calm); !ok {
				return false
			}
		}
		return true
	}, maxWait, 20*time.Millisecond, "requests below the rate are refused")
	var admitted atomic.Int64
	var wait sync.WaitGroup
	start := time.Now()
	for _, vm := range f.vms {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range 50 {
				if _, ok := vm.rateSharer.Allow(t.Context(), hot); ok {
					admitted.Add(1)
				}
			}
		}()
	}
	wait.Wait()
	// The bound of one window holds for each window that has begun.
	windows := int64(time.Since(start)/(5*time.Second)) + 1
	assert.LessOrEqual(t, admitted.Load(), windows*26, "(1 x 5 + 1) x 1.1 + 20 in a window")
	assert.Positive(t, admitted.Load())
	questions := int64(0)
	for _, vm := range f.vms {
		questions += vm.rateSharer.Counters.Questions.Load()
		assert.Zero(t, vm.rateSharer.Counters.Malformed.Load())
	}
	assert.Positive(t, questions)
}
