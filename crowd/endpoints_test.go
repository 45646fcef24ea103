package crowd

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	// faultyEndpoints have 8 slots each, so that a VM may have 192 requests at them at once.
	faultyEndpoints = 24
	faultyCallers   = 192
	// jobItems is the largest number of items of a job.
	jobItems = 200
	// largeEvents events of largeEventBytes are an output just under the largest.
	largeEvents, largeEventBytes = 60, 17 << 10
)

// TestEndlessAnswersOfEndpoints sends requests of many callers to endpoints whose answers have no end. It guards against a
// process that keeps them, in its own memory or unread in the kernel's, until it is ended for that.
func TestEndlessAnswersOfEndpoints(t *testing.T) {
	head := text(headOf("POST", "/faulty/status/1", "Content-Length: 0"))
	for _, c := range []struct {
		name  string
		fault standin.EndpointFault
	}{
		{"heads of many lines", standin.LongHead},
		{"bodies without end", standin.EndlessBody},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, withFaulty(c.fault))
			s.checkMemory(c.name, func(k *crowd) {
				k.send(faultyCallers, form{address: s.callers(), pieces: []piece{{data: head, times: 20}}})
			})
		})
	}
}

// withFaulty adds endpoints that answer all requests with the fault.
func withFaulty(fault standin.EndpointFault) func(*site) {
	return func(s *site) {
		for n := range faultyEndpoints {
			s.addEndpoint(fmt.Sprintf("i-faulty-%d", n), "faulty", func(e *standin.Endpoint) {
				e.SetFault(func(int, *http.Request) standin.EndpointFault { return fault })
			})
		}
	}
}

// TestEndlessEventsOfItems submits a job whose items get events without end.
func TestEndlessEventsOfItems(t *testing.T) {
	s := newSite(t, withFaulty(standin.EndlessEvents))
	s.checkMemory("items, events without end", func(*crowd) {
		status, text := s.call(http.MethodPost, "/faulty/batch/endless", "endless", submissionTo("/faulty/batch/", jobItems, 100))
		require.Equal(t, http.StatusAccepted, status, text)
	})
}

// TestLargeOutputsWaitForTheStore submits a job whose outputs are just under the largest, while the store takes none of them:
// what the VM holds is bounded, and the job completes once the store takes them.
func TestLargeOutputsWaitForTheStore(t *testing.T) {
	isRefused := atomic.Bool{}
	isRefused.Store(true)
	s := newSite(t, func(s *site) {
		s.store.SetFault(func(r *http.Request) standin.StoreFault {
			if isRefused.Load() && strings.Contains(r.URL.Path, "/blob-put/output") {
				return standin.Busy
			}
			return standin.NoFault
		})
		for n := range faultyEndpoints {
			s.addEndpoint(fmt.Sprintf("i-faulty-%d", n), "faulty", func(e *standin.Endpoint) {
				e.Events, e.EventBytes, e.Step = largeEvents, largeEventBytes, time.Millisecond
			})
		}
	})
	s.checkMemory("items, outputs just under the largest", func(*crowd) {
		status, text := s.call(http.MethodPost, "/faulty/batch/large", "large", submissionTo("/faulty/batch/", jobItems, 100))
		require.Equal(t, http.StatusAccepted, status, text)
	})
	isRefused.Store(false)
	require.Eventually(t, func() bool { return s.isDone("large", jobItems) }, waitTimeout, pollPause, "the job's items are not done")
	assert.LessOrEqual(t, memoryMbOf(s.cmd.Process.Pid, "VmHWM"), float64(memoryMb), "highest memory in MB")
}

// checkMemory checks that the VM lives, stays within its memory, what it has not read included, and answers an ordinary request
// beside and after what send does.
func (s *site) checkMemory(name string, send func(*crowd)) {
	t := s.t
	require.Eventually(t, s.isServed, waitTimeout, pollPause, "no ordinary request is answered before")
	pid := s.cmd.Process.Pid
	var ports []uint16
	for _, e := range s.endpoints {
		ports = append(ports, netip.MustParseAddrPort(e.Entry("ready")["address"].(string)).Port())
	}
	m, c := newMeter(pid, ports...), &crowd{}
	send(c)
	time.Sleep(holdTime)
	report, beside := c.report(), s.ordinary()
	served := assert.Eventually(t, s.isServed, waitTimeout, pollPause, "no ordinary request is answered beside")
	highest, fds := memoryMbOf(pid, "VmHWM"), m.end()
	c.leave()
	assert.Eventually(t, s.isServed, waitTimeout, pollPause, "no ordinary request is answered after")
	assert.True(t, s.isAlive(), "the process has ended")
	assert.LessOrEqual(t, highest, float64(memoryMb), "highest memory in MB")
	assert.LessOrEqual(t, m.maxMb, float64(memoryMb), "highest memory with what was not read, in MB")
	assert.LessOrEqual(t, fds, maxFds, "open descriptors")
	text, err := os.ReadFile(s.log)
	require.NoError(t, err)
	for _, mark := range []string{"panic: ", "fatal error: "} {
		assert.NotContains(t, string(text), mark)
	}
	runs := 0
	for _, e := range s.endpoints {
		if e.Service == "faulty" {
			runs += len(e.Runs())
		}
	}
	t.Logf("MEASURED | %s | %.0f MB | with unread %.0f MB, unread %.0f MB | %d | %s | %s | served %t | %d runs | log %d kB",
		name, highest, m.maxMb, m.maxUnreadMb, fds, report, beside, served, runs, len(text)/1000)
}
