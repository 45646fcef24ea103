package relayer

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/admitter"
	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/authenticator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
	"github.com/dogwoodledge/dogwoodledge/pkg/tracer"
)

// hookedIsolator calls onCheck before a request is placed, and onOutlived, if it is set, with the events that a stream outlived.
type hookedIsolator struct {
	onCheck    func()
	onOutlived func(events int)
}

func (i hookedIsolator) Check([]string) quarantiner.Verdict {
	i.onCheck()
	return quarantiner.Verdict{}
}

func (hookedIsolator) BeginProbe(string) bool { return false }

func (hookedIsolator) Completed([]string) {}

func (hookedIsolator) BrokeOff(registrar.Endpoint, []string, quarantiner.Strike) {}

func (i hookedIsolator) Outlived(_ []string, events int) {
	if i.onOutlived != nil {
		i.onOutlived(events)
	}
}

// allWhole takes all answers for whole.
type allWhole struct{}

func (allWhole) BodyOf(_ context.Context, x *dialer.Exchange, _ registrar.Endpoint) io.Reader {
	return x
}

// noResumer knows no streams.
type noResumer struct{}

func (noResumer) SoftwareOf(context.Context, string, string, string) option.Option[registrar.Software] {
	return option.None[registrar.Software]()
}

func (noResumer) Began(string, registrar.Endpoint) {}

// newTestRelayer returns a relayer with one endpoint, which answers by the handler, and its route.
func newTestRelayer(t *testing.T, i Isolator, endpoint http.HandlerFunc) (*Relayer, registrar.Route) {
	t.Helper()
	server := httptest.NewServer(endpoint)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	route := registrar.Route{
		Name: "notes", Host: "h", PathPrefix: "/notes", Kind: registrar.KindStream,
		Splits: []registrar.Split{{Service: "s", Weight: 1}},
	}
	reg := registrar.NewRegistry((&registrar.Config{Routes: []registrar.Route{route}}).Index(), map[string]registrar.Endpoint{
		"e": {ID: "e", Service: "s", Slots: 8, Address: netip.MustParseAddrPort(server.Listener.Addr().String())},
	})
	log, _ := logtest.NewNullLogger()
	b := balancer.New(
		balancer.Config{VM: "v", Topology: placer.Topology{AvailabilityZone: "a"}}, nil, rand.New(rand.NewPCG(1, 1)), log)
	m, err := tracer.NewMeter(nil)
	require.NoError(t, err)
	registry := func() *registrar.Registry { return reg }
	return New(Headers{RequestID: "X-Id", Signature: "X-Signed"}, registry, b, dialer.NewPool(func(string) int { return 1 }), i,
		allWhole{}, noResumer{}, newTestAdmitter(t, registry), func(registrar.Endpoint) {}, m, log), route
}

// newTestAdmitter returns an admitter that reads keys from the header X-Key, and never counts a configuration as outdated.
func newTestAdmitter(t *testing.T, registry func() *registrar.Registry) *admitter.Admitter {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	m, err := tracer.NewMeter(nil)
	require.NoError(t, err)
	return admitter.New(admitter.Headers{RequestID: "X-Id", Credentials: "X-Key"}, authenticator.Policy{}, registry,
		func() (time.Duration, bool) { return 0, false }, func() time.Duration { return 0 }, admitter.Unlimited{}, m, log)
}

func newTestRequest(t *testing.T) *http.Request {
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/notes", strings.NewReader("prompt"))
	r.RequestURI = "/notes"
	r.Header.Set("X-Id", "r1")
	return r
}

// TestUnsentRequestIsRefusedAtTheEndOfAStop ends the unanswered requests before one is sent to an endpoint, to which a connection
// is kept.
func TestUnsentRequestIsRefusedAtTheEndOfAStop(t *testing.T) {
	var requests atomic.Int64
	i := &hookedIsolator{onCheck: func() {}}
	l, route := newTestRelayer(t, i, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "yes")
	})
	w := httptest.NewRecorder()
	l.Serve(w, newTestRequest(t), route)
	require.Equal(t, http.StatusOK, w.Code, w.Body)
	require.Len(t, dialer.Connected(l.pool, func(endpoint string) string { return endpoint }), 1)
	i.onCheck = func() {
		l.EndUnanswered()
		time.Sleep(20 * time.Millisecond)
	}
	w = httptest.NewRecorder()
	// A connection carries each id once, so only another one goes to the kept connection.
	next := newTestRequest(t)
	next.Header.Set("X-Id", "r2")
	l.Serve(w, next, route)
	assert.Equal(t, http.StatusServiceUnavailable, w.Code, w.Body)
	assert.NotEmpty(t, w.Header().Get("Retry-After"))
	assert.EqualValues(t, 1, requests.Load())
}

// TestStreamThatGoesOnSpeaksForItsParts has an endpoint send events for over a second. It guards against streams of which only
// the completion refutes the ends of endpoints under others.
func TestStreamThatGoesOnSpeaksForItsParts(t *testing.T) {
	var outlived []int
	i := hookedIsolator{onCheck: func() {}, onOutlived: func(events int) { outlived = append(outlived, events) }}
	l, route := newTestRelayer(t, i, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Id", "r1")
		w.Header().Set("X-Signed", "yes")
		for n := range 6 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: a\n\n", n)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(quarantiner.SoundTime/2 + 20*time.Millisecond)
		}
	})
	w := httptest.NewRecorder()
	l.Serve(w, newTestRequest(t), route)
	require.Equal(t, http.StatusOK, w.Code)
	assert.Equal(t, []int{1, 3}, outlived, "the numbers of events that the stream outlived")
}

// TestBegunStreamOutlastsTheEndOfUnansweredRequests ends the unanswered requests between two events of a stream.
func TestBegunStreamOutlastsTheEndOfUnansweredRequests(t *testing.T) {
	sendLast := make(chan struct{})
	l, route := newTestRelayer(t, hookedIsolator{onCheck: func() {}}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Id", "r1")
		w.Header().Set("X-Signed", "yes")
		_, _ = io.WriteString(w, "id: 0\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		<-sendLast
		_, _ = io.WriteString(w, "id: 1\ndata: b\n\n")
	})
	begun := make(chan struct{})
	w := &signalingRecorder{ResponseRecorder: httptest.NewRecorder(), begun: begun}
	served := make(chan struct{})
	r := newTestRequest(t)
	go func() {
		defer close(served)
		l.Serve(w, r, route)
	}()
	<-begun
	l.EndUnanswered()
	time.Sleep(20 * time.Millisecond)
	close(sendLast)
	<-served
	assert.Equal(t, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", w.Body.String())
}

// signalingRecorder closes begun when the head of an answer is written.
type signalingRecorder struct {
	*httptest.ResponseRecorder
	begun chan struct{}
}

func (w *signalingRecorder) WriteHeader(status int) {
	w.ResponseRecorder.WriteHeader(status)
	close(w.begun)
}
