package relayer

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"

	core "github.com/dogwoodledge/dogwoodledge/pkg/core/delegator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/delegator"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
	"github.com/dogwoodledge/dogwoodledge/pkg/scout"
)

// testLinks are the links of a VM that can be lost.
type testLinks struct {
	isCut    atomic.Bool
	silenced context.Context
	silence  context.CancelCauseFunc
}

func newTestLinks() *testLinks {
	l := &testLinks{}
	l.silenced, l.silence = context.WithCancelCause(context.Background())
	return l
}

func (l *testLinks) cut() {
	l.isCut.Store(true)
	l.silence(scout.ErrPartitioned)
}

func (l *testLinks) ServesLocally() bool { return !l.isCut.Load() }

func (l *testLinks) Silenced() context.Context { return l.silenced }

// noRoom has no room at any other VM; n counts the requests that it was asked for.
type noRoom struct{ n atomic.Int64 }

func (d *noRoom) Begin(map[string]bool) (*delegator.Delegation, bool) {
	d.n.Add(1)
	return nil, false
}

func (l *Relayer) handOver(links Links, d Delegator, hasPeers bool) {
	l.SetHandover(Handover{
		Links: links, Delegator: d, HasPeers: func() bool { return hasPeers }, Pool: dialer.NewPool(func(string) int { return 1 }),
	})
}

// TestRequestIsNotSentOnLinksLostMeanwhile loses the links while a request is placed: it is handed over.
func TestRequestIsNotSentOnLinksLostMeanwhile(t *testing.T) {
	for _, kind := range []registrar.Kind{registrar.KindNonIdempotent, registrar.KindSafe} {
		var got atomic.Int64
		links, d := newTestLinks(), &noRoom{}
		l, route := newTestRelayer(t, hookedIsolator{onCheck: links.cut}, func(w http.ResponseWriter, r *http.Request) {
			got.Add(1)
			w.Header().Set("X-Id", "r1")
			w.Header().Set("X-Signed", "yes")
		})
		route.Kind, route.MaxAttempts = kind, 2
		l.configure(&registrar.Config{Routes: []registrar.Route{route}})
		l.handOver(links, d, true)
		w := httptest.NewRecorder()
		l.Serve(w, newTestRequest(t), route)
		assert.Zero(t, got.Load(), "sent to an endpoint after the verdict")
		assert.Positive(t, d.n.Load())
	}
}

// TestVMWithoutPeersServesAsBefore has no other VM in touch: a partitioned VM sends its requests to endpoints all the same.
func TestVMWithoutPeersServesAsBefore(t *testing.T) {
	var got atomic.Int64
	links := newTestLinks()
	links.cut()
	l, route := newTestRelayer(t, hookedIsolator{onCheck: func() {}}, func(w http.ResponseWriter, r *http.Request) {
		got.Add(1)
		w.Header().Set("X-Id", "r1")
		w.Header().Set("X-Signed", "yes")
	})
	route.Kind, route.MaxAttempts = registrar.KindSafe, 2
	l.configure(&registrar.Config{Routes: []registrar.Route{route}})
	l.handOver(links, &noRoom{}, false)
	w := httptest.NewRecorder()
	l.Serve(w, newTestRequest(t), route)
	assert.Equal(t, 200, w.Code, "no peer: serves as before")
}

// TestPartitionedVMRefusesRequestsOfOthers hands a request over to a VM that is partitioned as well.
func TestPartitionedVMRefusesRequestsOfOthers(t *testing.T) {
	var got atomic.Int64
	links := newTestLinks()
	links.cut()
	l, route := newTestRelayer(t, hookedIsolator{onCheck: func() {}}, func(w http.ResponseWriter, r *http.Request) {
		got.Add(1)
		w.Header().Set("X-Id", "r1")
		w.Header().Set("X-Signed", "yes")
	})
	route.Kind, route.MaxAttempts = registrar.KindNonIdempotent, 2
	l.configure(&registrar.Config{Routes: []registrar.Route{route}})
	l.handOver(links, &noRoom{}, true)
	w := httptest.NewRecorder()
	l.ServeDelegated(w, newDelegatedRequest(t))
	assert.Equal(t, http.StatusServiceUnavailable, w.Code)
	assert.Zero(t, got.Load())
}

// countingResumer counts the questions which software version began a stream, and knows none.
type countingResumer struct{ asked *atomic.Int64 }

func (c countingResumer) SoftwareOf(context.Context, string, string, string) option.Option[registrar.Software] {
	c.asked.Add(1)
	return option.None[registrar.Software]()
}
func (countingResumer) Began(string, registrar.Endpoint) {}

// TestStreamBegunAtAnotherVMGoesOnAtItsSoftwareVersion breaks a stream of another VM off, and gets the links back: it is asked
// which software version began it, and no other one goes on.
func TestStreamBegunAtAnotherVMGoesOnAtItsSoftwareVersion(t *testing.T) {
	var asked, got atomic.Int64
	links := newTestLinks()
	links.isCut.Store(true)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", "r1")
		w.Header().Set("X-Signed", "yes")
		_, _ = io.WriteString(w, "id: 0\ndata: a of v2\n\n")
		_ = http.NewResponseController(w).Flush()
		links.isCut.Store(false)
		panic(http.ErrAbortHandler)
	}))
	defer peer.Close()
	l, route := newTestRelayer(t, hookedIsolator{onCheck: func() {}}, func(w http.ResponseWriter, r *http.Request) {
		got.Add(1)
		w.Header().Set("X-Id", "r1")
		w.Header().Set("X-Signed", "yes")
		_, _ = io.WriteString(w, "id: 1\ndata: b of v1\n\n")
	})
	l.headers.LastEventID = "Last-Event-Id"
	l.resumer = countingResumer{&asked}
	route.IsResumable, route.MaxAttempts = true, 3
	l.configure(&registrar.Config{Routes: []registrar.Route{route}})
	log, _ := logtest.NewNullLogger()
	d := delegator.New(delegator.Config{VM: "v", Zone: "a"}, func() []core.Peer {
		return []core.Peer{
			{VM: "p", Address: netip.MustParseAddrPort(peer.Listener.Addr().String()), AvailabilityZone: "a", IsNear: true},
		}
	}, rand.New(rand.NewPCG(1, 1)), log)
	l.handOver(links, d, true)
	w := httptest.NewRecorder()
	assert.Panics(t, func() { l.Serve(w, newTestRequest(t), route) }, "the answer looks complete")
	assert.Positive(t, asked.Load(), "the stream goes on at an endpoint of any version")
	assert.Zero(t, got.Load())
}
