package assembler_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// TestDelegatedRequestKeepsToItsAttempts sends a request, which two endpoints may run, to a VM that hands it over, while all
// endpoints fail or are silent.
func TestDelegatedRequestKeepsToItsAttempts(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]standin.EndpointFault{"failing": standin.Fail, "silent": standin.NoAnswer} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testAttemptsOfDelegated(t, fault)
		})
	}
}

func testAttemptsOfDelegated(t *testing.T, fault standin.EndpointFault) {
	t.Helper()
	f := newPartitionableFleet(t, 4, 5)
	f.vms[0].cut(partitionModes[0])
	s := f.startTries(300 * time.Millisecond)
	time.Sleep(3 * time.Second)
	s.end()
	for _, e := range f.endpoints {
		e.SetFault(func(int, *http.Request) standin.EndpointFault { return fault })
	}
	id := newID("x")
	f.call(t.Context(), f.vms[0], http.MethodPost, "/status/1", id, "body", withHeader("X-Deadline-Ms", "5000"))
	assert.LessOrEqual(t, len(f.runsOf(id)), 2, "maxAttempts of the route is 2")
}

// TestFullServiceStopsNoHandoverOfOthers fills the endpoints of one service: requests of another service are still handed over.
func TestFullServiceStopsNoHandoverOfOthers(t *testing.T) {
	t.Parallel()
	f := newPartitionableFleet(t, 2, 5)
	f.vms[0].cut(partitionModes[0])
	warm := f.startTries(300 * time.Millisecond)
	time.Sleep(4 * time.Second)
	warm.end()
	for _, e := range f.endpoints {
		e.SetFault(func(_ int, r *http.Request) standin.EndpointFault {
			if strings.HasPrefix(r.URL.Path, "/draft/") || strings.HasPrefix(r.URL.Path, "/note/") {
				return standin.Shed
			}
			return standin.NoEndpointFault
		})
	}
	from := time.Now()
	s := f.startTries(23 * time.Millisecond)
	time.Sleep(4 * time.Second)
	list := s.end()
	at0, at1 := within(list, from, time.Now(), f.vms[0]), within(list, from, time.Now(), f.vms[1])
	t.Logf("partitioned: %v, its peer: %v", outcomes(at0), outcomes(at1))
	share := func(l []try) float64 {
		served, n := 0, 0
		for _, r := range l {
			if !r.isStream() {
				n++
				if r.isServed() {
					served++
				}
			}
		}
		return float64(served) / float64(n)
	}
	assert.GreaterOrEqual(t, share(at0), share(at1)*2/3)
}
