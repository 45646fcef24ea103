package assembler_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/ratelimiter"
)

// TestRateOfAccountHoldsOverAllVMs sends an account's requests to all VMs at once. It guards against VMs whose messages about
// rates don't reach one another's sharers, so that each admits the rate by itself, or none does.
func TestRateOfAccountHoldsOverAllVMs(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	calm, hot := ratelimiter.Account{Name: "calm", Rate: 1000, Burst: 1000}, ratelimiter.Account{Name: "hot", Rate: 1, Burst: 1}
	ok := assert.Eventually(t, func() bool {
		for _, vm := range f.vms {
			if _, ok := vm.rateSharer.Allow(t.Context(), calm); !ok {
				return false
			}
		}
		return true
	}, maxWait, 20*time.Millisecond, "requests below the rate are refused")
	if !ok {
		for _, vm := range f.vms {
			c := &vm.rateSharer.Counters
			t.Logf("%s %+v heard %d q %d a %d alone %d refused %d claims %d", vm.name, vm.gossiper.Membership(), vm.gossiper.Heard(),
				c.Questions.Load(), c.Answers.Load(), c.Alone.Load(), c.Refused.Load(), c.Claims.Load())
		}
		t.FailNow()
	}
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

// TestExcessOfAnAccountIsRefused sends more than an account's rate over all VMs. It guards against an excess that is answered
// otherwise than with 429 and a time, and against another account that pays for it.
func TestExcessOfAnAccountIsRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	limited := account("a", callerKey)
	limited["ratePerS"], limited["burst"] = 0.5, 1
	f.setAccounts(limited, account("b", "key-of-b"))
	call := func(vm *testVM, key string) answer {
		return f.call(t.Context(), vm, http.MethodPost, "/status/1", newID("r"), "", withKey(key))
	}
	accepted, refused := 0, 0
	start := time.Now()
	for i := range 80 {
		switch a := call(f.vms[i%2], callerKey); a.status {
		case http.StatusOK:
			accepted++
		case http.StatusTooManyRequests:
			refused++
			assert.NotEmpty(t, a.header.Get("Retry-After"))
		default:
			assert.Fail(t, "unexpected status", "%d", a.status)
		}
	}
	windows := int(time.Since(start)/(5*time.Second)) + 1
	assert.LessOrEqual(t, accepted, windows*24, "(0.5 x 5 + 1) x 1.1 + 20 in a window")
	assert.Positive(t, refused)
	for _, vm := range f.vms {
		assert.Equal(t, http.StatusOK, call(vm, "key-of-b").status)
	}
}
