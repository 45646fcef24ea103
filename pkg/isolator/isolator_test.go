package isolator_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/isolator"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/platform"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// deadDialer finds that all endpoints have ended.
type deadDialer struct{}

func (deadDialer) Reach(context.Context, string, netip.AddrPort) error { return errors.New("refused") }

// resettingDialer finds that all endpoints reset their connections.
type resettingDialer struct{}

func (resettingDialer) Reach(context.Context, string, netip.AddrPort) error {
	return &dialer.ConnectError{Cause: syscall.ECONNRESET}
}

func noEndpoints() *registrar.Registry { return registrar.NewRegistry(nil, nil) }

// newOne returns a started isolator of a VM.
func newOne(t *testing.T, addr netip.AddrPort, n int, duty bool) *isolator.Isolator {
	return newOneWith(t, addr, n, duty, deadDialer{})
}

func newOneWith(t *testing.T, addr netip.AddrPort, n int, duty bool, d isolator.Dialer) *isolator.Isolator {
	log := logrus.New()
	log.SetOutput(io.Discard)
	rank := func(string) (int, int) {
		if duty {
			return 0, 2
		}
		return 1, 2
	}
	i := isolator.New(platform.NewStore(addr, fmt.Sprint("front-", n)), d, noEndpoints, rank, log)
	i.Start(t.Context())
	return i
}

func newStore(t *testing.T) (*standin.Store, netip.AddrPort) {
	s := standin.NewStore()
	srv := httptest.NewServer(s)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return s, netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// TestExpiredRowEndsNoFreshQuarantine starts a VM after the first of a part's rows has expired.
func TestExpiredRowEndsNoFreshQuarantine(t *testing.T) {
	s, addr := newStore(t)
	now := time.Now()
	s.Put("quarantine", "", "ab/e2@1", fmt.Appendf(nil, "1@%d", now.UnixMilli()))
	s.Put("quarantine", "", "ab/e3@1", fmt.Appendf(nil, "1@%d", now.UnixMilli()))
	s.Put("quarantine", "", "ab/e4@1", fmt.Appendf(nil, "1@%d", now.Add(-10*time.Minute+2*time.Second).UnixMilli()))
	i := newOne(t, addr, 1, false)
	require.Eventually(t, func() bool { return i.Check([]string{"ab"}).Part == "ab" }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(2500 * time.Millisecond)
	p := i.Check([]string{"ab"}).Part
	require.Equal(t, "ab", p)
	newOne(t, addr, 2, true)
	time.Sleep(time.Second)
	p = i.Check([]string{"ab"}).Part
	t.Logf("rows left: %d", s.Count("quarantine"))
	assert.Equal(t, "ab", p, "the quarantine ended 3 s after its last strike, since another VM started")
}

// TestEndpointThatResetsConnectionsHasNotEnded guards against the quarantine of sound prompts, since endpoints under load reset
// the connections beyond their limit.
func TestEndpointThatResetsConnectionsHasNotEnded(t *testing.T) {
	_, addr := newStore(t)
	i := newOneWith(t, addr, 1, false, resettingDialer{})
	for n := range 3 {
		i.BrokeOff(registrar.Endpoint{ID: fmt.Sprint("i-", n)}, []string{"ca"}, quarantiner.Strike{})
	}
	time.Sleep(500 * time.Millisecond)
	assert.Empty(t, i.Check([]string{"ca"}).Part)
	assert.Zero(t, i.Counters.Strikes.Load())
}

// TestStrikeWrittenAfterItsRefutationCountsForNothing completes a request while the rows of strikes are being written.
func TestStrikeWrittenAfterItsRefutationCountsForNothing(t *testing.T) {
	s, addr := newStore(t)
	a, b := newOne(t, addr, 1, false), newOne(t, addr, 2, false)
	time.Sleep(200 * time.Millisecond)
	s.SetDelay(300 * time.Millisecond)
	for n := range 3 {
		a.BrokeOff(registrar.Endpoint{ID: fmt.Sprint("i-", n)}, []string{"ca"}, quarantiner.Strike{})
	}
	time.Sleep(100 * time.Millisecond)
	p := a.Check([]string{"ca"}).Part
	require.Equal(t, "ca", p, "quarantined by three strikes")
	a.Completed([]string{"ca"})
	p = a.Check([]string{"ca"}).Part
	require.Empty(t, p, "refuted by a completed request")
	time.Sleep(3 * time.Second)
	t.Logf("rows %d", s.Count("quarantine"))
	v := a.Check([]string{"ca"})
	assert.Empty(t, v.Part, "quarantined again for %s, without a further crash", v.Left)
	v = b.Check([]string{"ca"})
	assert.Empty(t, v.Part, "quarantined on the other VM for %s, without a further crash", v.Left)
}

// TestStrikeThatTakesEffectLateCountsForNothing completes a request before the rows of strikes take effect.
func TestStrikeThatTakesEffectLateCountsForNothing(t *testing.T) {
	s, addr := newStore(t)
	a, b := newOne(t, addr, 1, false), newOne(t, addr, 2, false)
	time.Sleep(200 * time.Millisecond)
	s.SetFault(func(r *http.Request) standin.StoreFault {
		if r.URL.Path == "/rows-tx" {
			return standin.ExecuteLate
		}
		return standin.NoFault
	})
	for n := range 3 {
		a.BrokeOff(registrar.Endpoint{ID: fmt.Sprint("i-", n)}, []string{"ca"}, quarantiner.Strike{})
	}
	time.Sleep(100 * time.Millisecond)
	a.Completed([]string{"ca"})
	s.SetFault(func(*http.Request) standin.StoreFault { return standin.NoFault })
	time.Sleep(6 * time.Second)
	for n, i := range []*isolator.Isolator{a, b} {
		v := i.Check([]string{"ca"})
		assert.Empty(t, v.Part, "VM %d: quarantined for %s, without a further crash", n, v.Left)
	}
	t.Logf("rows %d", s.Count("quarantine"))
}

// TestOlderRefutationReplacesNoPendingOne has a VM that can't reach the store learn of an older refutation from a peer, after it
// recorded strikes and completed a request with the part itself.
func TestOlderRefutationReplacesNoPendingOne(t *testing.T) {
	s, addr := newStore(t)
	a, b := newOne(t, addr, 1, false), newOne(t, addr, 2, false)
	time.Sleep(200 * time.Millisecond)
	s.SetFault(func(*http.Request) standin.StoreFault { return standin.Busy })
	older := time.Now()
	time.Sleep(10 * time.Millisecond)
	for n := range 3 {
		a.BrokeOff(registrar.Endpoint{ID: fmt.Sprint("i-", n)}, []string{"ca"}, quarantiner.Strike{})
	}
	require.Eventually(t, func() bool { return a.Check([]string{"ca"}).Part == "ca" }, time.Second, time.Millisecond)
	a.Completed([]string{"ca"})
	a.ApplyPeerRows([]storer.Entry{{Table: isolator.Table, Key: "ca/refuted", Value: fmt.Appendf(nil, "0@%d", older.UnixMilli())}})
	s.SetFault(func(*http.Request) standin.StoreFault { return standin.NoFault })
	require.Eventually(t, func() bool { return s.Count("quarantine") >= 3 }, 10*time.Second, 10*time.Millisecond)
	time.Sleep(3 * time.Second)
	t.Logf("rows %d", s.Count("quarantine"))
	assert.Empty(t, b.Check([]string{"ca"}).Part, "the refutation of the strikes was not written")
}

// putStrikes stores the strikes that quarantine a part, and waits until the isolators know them.
func putStrikes(t *testing.T, s *standin.Store, part string, list ...*isolator.Isolator) {
	for n := range 3 {
		s.Put("quarantine", "", fmt.Sprintf("%s/e%d@1", part, n), fmt.Appendf(nil, "1@%d", time.Now().UnixMilli()))
	}
	for _, i := range list {
		require.Eventually(t, func() bool { return i.Check([]string{part}).Part == part }, 5*time.Second, 5*time.Millisecond)
	}
}

// TestProbeKeepsOtherVMsFromProbing begins a probe on one VM while no other has its turn: the other, whose turn is next, must not
// probe, nor must one that knows of the probe by the rows of a peer alone.
func TestProbeKeepsOtherVMsFromProbing(t *testing.T) {
	s, addr := newStore(t)
	a, b, c := newOne(t, addr, 1, true), newOne(t, addr, 2, false), newOne(t, netip.MustParseAddrPort("127.0.0.1:1"), 3, false)
	putStrikes(t, s, "ca", a, b)
	c.ApplyPeerRows(a.Rows())
	require.Equal(t, "ca", c.Check([]string{"ca"}).Part)
	require.Eventually(t, func() bool { return a.Check([]string{"ca"}).IsProbeDue }, 5*time.Second, 5*time.Millisecond)
	require.True(t, a.BeginProbe("ca"))
	c.ApplyPeerRows(a.Rows())
	isDueElsewhere := func() bool { return b.Check([]string{"ca"}).IsProbeDue || c.Check([]string{"ca"}).IsProbeDue }
	assert.Never(t, isDueElsewhere, 2500*time.Millisecond, 5*time.Millisecond, "a second VM may probe")
	assert.False(t, b.BeginProbe("ca"))
}

// TestNextVMProbesInstead sends requests to the VM of rank 1 alone.
func TestNextVMProbesInstead(t *testing.T) {
	s, addr := newStore(t)
	b := newOne(t, addr, 2, false)
	begin := time.Now()
	putStrikes(t, s, "ca", b)
	require.Eventually(t, func() bool { return b.Check([]string{"ca"}).IsProbeDue }, 5*time.Second, 5*time.Millisecond)
	assert.GreaterOrEqual(t, time.Since(begin), 3500*time.Millisecond, "it has its turn before the VM of rank 0")
	assert.True(t, b.BeginProbe("ca"))
}

// TestLaterReportOfAStrikeCounts has a VM overwrite the rows of refuted strikes with later reports of the same ends.
func TestLaterReportOfAStrikeCounts(t *testing.T) {
	s, addr := newStore(t)
	a := newOne(t, addr, 1, false)
	now := time.Now()
	put := func(at time.Time) {
		for n := range 3 {
			s.Put("quarantine", "", fmt.Sprintf("ca/e%d@1", n), fmt.Appendf(nil, "1@%d", at.UnixMilli()))
		}
	}
	isQuarantined := func() bool { return a.Check([]string{"ca"}).Part == "ca" }
	put(now.Add(-2 * time.Second))
	require.Eventually(t, isQuarantined, 5*time.Second, 5*time.Millisecond)
	s.Put("quarantine", "", "ca/refuted", fmt.Appendf(nil, "0@%d", now.Add(-time.Second).UnixMilli()))
	require.Eventually(t, func() bool { return !isQuarantined() }, 5*time.Second, 5*time.Millisecond)
	put(now)
	assert.Eventually(t, isQuarantined, 5*time.Second, 5*time.Millisecond, "the later reports were ignored")
}

// TestProgressPastTheEndsReleasesAPart has a request go on past the events at which others ended with their endpoints: the part
// is released on all VMs, also on one that starts later.
func TestProgressPastTheEndsReleasesAPart(t *testing.T) {
	s, addr := newStore(t)
	a, b := newOne(t, addr, 1, false), newOne(t, addr, 2, false)
	const part = "ab"
	for n := range 6 {
		at := time.Now().Add(time.Duration(n-6) * time.Second).UnixMilli()
		s.Put("quarantine", "", fmt.Sprintf("%s/e%d@1/answer", part, n), fmt.Appendf(nil, "1@%d@%d@none", at, 40+n))
	}
	isRefused := func(i *isolator.Isolator) bool { return i.Check([]string{part}).Part == part }
	for _, i := range []*isolator.Isolator{a, b} {
		require.Eventually(t, func() bool { return isRefused(i) }, 5*time.Second, 5*time.Millisecond)
	}
	a.Outlived([]string{part}, 39)
	assert.True(t, isRefused(a), "released by progress before the ends")
	a.Outlived([]string{part}, 45)
	assert.False(t, isRefused(a))
	require.Eventually(t, func() bool { return !isRefused(b) }, 3*time.Second, 5*time.Millisecond, "the other VM does not know it")
	later := newOne(t, addr, 3, false)
	time.Sleep(500 * time.Millisecond)
	assert.False(t, isRefused(later), "a new VM counts refuted strikes")
}
