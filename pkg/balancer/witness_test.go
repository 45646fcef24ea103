package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
)

// hears has heard an endpoint at a time.
type hears struct {
	heard         time.Time
	isPartitioned bool
}

func (h *hears) HasHeardSince(at time.Time) bool { return !h.isPartitioned && h.heard.After(at) }

func (h *hears) IsPartitioned() bool { return h.isPartitioned }

// TestFailuresAreReportedDespiteManyOthers lets endpoints fail 200 times a second while bytes of others arrive: most reports tell
// the failures.
func TestFailuresAreReportedDespiteManyOthers(t *testing.T) {
	const rate = 200.0
	random := rand.New(rand.NewPCG(1, 1))
	h := &hears{}
	b := &Balancer{witness: h}
	start := time.Now()
	next, inDoubt, reports := start, 0, 0
	for at := start; at.Before(start.Add(20 * time.Second)); at = at.Add(300 * time.Millisecond) {
		for next.Before(at.Add(-2 * arrivalTime)) {
			b.observeFailure(next, placer.Observation{HasFailed: true})
			next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		}
		h.heard = at
		reports++
		b.settleDoubts(at)
		if b.isInDoubt() {
			inDoubt++
		}
	}
	assert.Less(t, inDoubt, reports/2)
}

// TestFailuresOfThisVMsLinksAreNotReported lets endpoints fail while nothing is heard, until the VM knows that it is partitioned.
func TestFailuresOfThisVMsLinksAreNotReported(t *testing.T) {
	h := &hears{}
	b := &Balancer{witness: h}
	now := time.Now()
	b.observeFailure(now, placer.Observation{HasFailed: true})
	b.settleDoubts(now.Add(doubtTime / 2))
	assert.True(t, b.isInDoubt())
	h.isPartitioned = true
	b.settleDoubts(now.Add(doubtTime))
	assert.Empty(t, b.doubts)
	assert.True(t, b.isInDoubt())
}
