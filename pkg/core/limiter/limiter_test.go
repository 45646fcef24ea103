package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

// TestFleetIsExactInTheLongRun spreads an account's requests evenly over VMs that each count on their own: together they
// must allow the account's rate.
func TestFleetIsExactInTheLongRun(t *testing.T) {
	const vms, perSecond, seconds = 9, 50, 60
	fleet := []*Limiter{}
	for range vms {
		l := New()
		l.SetFleet(epoch, vms, 1)
		fleet = append(fleet, l)
	}
	allowed, sent := 0, 0
	for now := epoch; now.Before(epoch.Add(seconds * time.Second)); now = now.Add(5 * time.Millisecond) {
		sent++
		if _, ok := fleet[sent%vms].Allow(now, "office", Limits{Requests: perSecond, Tokens: 1e9}, 1); ok {
			allowed++
		}
	}
	// Each VM starts with a full bucket, so the fleet may exceed the rate by one second's worth, rounded up on each VM.
	assert.InDelta(t, perSecond*seconds, allowed, perSecond+vms)
}

func TestRefusalReturnsWaitingTime(t *testing.T) {
	l := New()
	limits := Limits{Requests: 2, Tokens: 1e9}
	for range 2 {
		_, ok := l.Allow(epoch, "office", limits, 1)
		assert.True(t, ok)
	}
	wait, ok := l.Allow(epoch, "office", limits, 1)
	assert.False(t, ok)
	assert.Equal(t, 500*time.Millisecond, wait)
	_, ok = l.Allow(epoch.Add(wait), "office", limits, 1)
	assert.True(t, ok)
	_, ok = l.Allow(epoch, "other", limits, 1)
	assert.True(t, ok, "each account has its own buckets")
}

// TestRequestLargerThanTheBurstPasses sends a request of more tokens than a bucket holds: it must be allowed, since no wait
// would ever make room for it.
func TestRequestLargerThanTheBurstPasses(t *testing.T) {
	l := New()
	_, ok := l.Allow(epoch, "office", Limits{Requests: 10, Tokens: 100}, 5000)
	assert.True(t, ok)
	wait, ok := l.Allow(epoch, "office", Limits{Requests: 10, Tokens: 100}, 5000)
	assert.False(t, ok)
	assert.Positive(t, wait)
}
