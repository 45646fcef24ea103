package placer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// TestFirstAttemptsAreKnownByMostCallers guards against a single caller with a longer deadline, or a changed time-out of the
// route, that makes the first attempts of all others count as retries.
func TestFirstAttemptsAreKnownByMostCallers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	d := &deadlines{}
	retry := func() time.Duration { return time.Duration((0.69 + 0.25*random.Float64()) * float64(5*time.Second)) }
	for range 100 {
		assert.True(t, d.observe(5*time.Second-time.Duration(random.IntN(20))*time.Millisecond, 1))
		assert.False(t, d.observe(retry(), 1), "a retry")
	}
	for i := range 100 {
		if i%20 == 0 {
			d.observe(20*time.Second, 1)
		}
		assert.True(t, d.observe(5*time.Second, 1), "after an odd caller, request %d", i)
	}
	late := 0
	for range 200 {
		if !d.observe(2*time.Second, 1) {
			late++
		}
	}
	assert.Less(t, late, 2*deadlineMemory, "first attempts that counted as retries after the time-out fell to 2 s")
	assert.True(t, d.observe(2*time.Second, 1))
	assert.Less(t, len(d.weights), 60)
}

// TestReturnsDoNotMakeAPeak guards against refused callers that return at the same time: their times are spaced, the first one
// as early as the queue allows, and none is later than a third of the time left.
func TestReturnsDoNotMakeAPeak(t *testing.T) {
	p := newTestPlacer(SpreadExact, 1)
	r := Request{
		Route: registrar.Route{Name: "r", Objective: 300 * time.Millisecond}, Left: 5 * time.Second,
		Candidates: []registrar.Endpoint{endpointOf("near", "syd-a")}, Account: "a",
	}
	p.ObserveReport(t0, Report{VM: "v2", Loads: map[Key]Load{KeyOf("near"): {Online: 14}}})
	in := make([]int, 16)
	for i := range 60 {
		d, ok := p.Place(t0, r).(Refuse)
		assert.True(t, ok)
		assert.LessOrEqual(t, d.RetryAfter, r.Left/3)
		if i == 0 {
			assert.Less(t, d.RetryAfter, 500*time.Millisecond, "the first refused caller returns first")
		}
		in[d.RetryAfter/(100*time.Millisecond)]++
	}
	for i, n := range in {
		assert.LessOrEqual(t, n, 18, "callers who return within 100 ms of %d00 ms: %v", i, in)
	}
}
