package scout

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/surveyor"
)

const maxWait = 10 * time.Second

// testLinks are the links of a VM to six endpoints of two services; they tell the scout what a pool would.
type testLinks struct {
	scout *Scout
	isCut atomic.Bool
	// ended holds the ids of endpoints that take no connections although the links are sound.
	ended  map[string]bool
	dials  atomic.Int64
	states chan surveyor.State
}

func (l *testLinks) Reach(ctx context.Context, id string, _ netip.AddrPort) error {
	l.dials.Add(1)
	if l.isCut.Load() {
		<-ctx.Done()
		l.scout.Failed(id)
		return errors.New("no answer")
	}
	if l.ended[id] {
		l.scout.Failed(id)
		return errors.New("refused")
	}
	l.scout.Connected(id)
	return nil
}

// InTouch and Send make two other VMs, which reach all endpoints that have not ended, answer at once.
func (l *testLinks) InTouch(int) []string { return []string{"vm2", "vm3"} }

func (l *testLinks) Send(_ string, payload []byte) {
	m, err := decode(payload)
	if err != nil {
		return
	}
	a := answer{Number: m.(question).Number, IsKnown: true}
	for _, e := range m.(question).Endpoints {
		a.HasReached = a.HasReached || !l.ended[e]
	}
	reply, _ := encode(answerType, a)
	go l.scout.Receive(context.Background(), reply)
}

func newTestLinks(t *testing.T, ended ...string) *testLinks {
	t.Helper()
	endpoints := map[string]registrar.Endpoint{}
	for n := range 6 {
		id := fmt.Sprintf("e%d", n)
		endpoints[id] = registrar.Endpoint{ID: id, Service: fmt.Sprintf("s%d", n%2)}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &testLinks{ended: map[string]bool{}, states: make(chan surveyor.State, 100)}
	for _, id := range ended {
		l.ended[id] = true
	}
	registry := registrar.NewRegistry(nil, endpoints)
	l.scout = New("vm", l, l, func() *registrar.Registry { return registry }, rand.New(rand.NewPCG(1, 2)), log)
	l.scout.OnChange(func(s surveyor.State) { l.states <- s })
	l.scout.Start(t.Context())
	return l
}

// hear lets bytes of an endpoint arrive while the links are sound, until the test ends.
func (l *testLinks) hear(t *testing.T) {
	t.Helper()
	l.scout.Exchanges(1)
	go func() {
		for t.Context().Err() == nil {
			if !l.isCut.Load() {
				l.scout.Heard()
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
}

func (l *testLinks) await(t *testing.T, phase surveyor.Phase) surveyor.State {
	t.Helper()
	for limit := time.After(maxWait); ; {
		select {
		case s := <-l.states:
			if s.Phase == phase {
				return s
			}
		case <-limit:
			require.Fail(t, "the VM is not "+phase.String())
		}
	}
}

// TestLostLinksAreSeen cuts the links of a VM with a request in flight and heals them: the VM learns of both by itself.
func TestLostLinksAreSeen(t *testing.T) {
	l := newTestLinks(t)
	l.hear(t)
	silenced := l.scout.Silenced()
	l.isCut.Store(true)
	assert.True(t, l.await(t, surveyor.Partitioned).IsSilent)
	require.ErrorIs(t, context.Cause(silenced), ErrPartitioned)
	assert.True(t, l.scout.IsPartitioned())
	assert.False(t, l.scout.ServesLocally())
	assert.False(t, l.scout.HasHeardSince(time.Now().Add(-time.Minute)), "what failed here is not the endpoints' failure")
	l.isCut.Store(false)
	l.await(t, surveyor.InTouch)
	assert.False(t, l.scout.IsPartitioned())
	assert.True(t, l.scout.ServesLocally())
	assert.NoError(t, l.scout.Silenced().Err())
	assert.EqualValues(t, 1, l.scout.Counters.Partitions.Load())
}

// TestVMWithoutRequestsProbesNobody checks that links which nothing uses cost no connections.
func TestVMWithoutRequestsProbesNobody(t *testing.T) {
	l := newTestLinks(t)
	time.Sleep(5 * surveyor.WakeInterval)
	assert.Zero(t, l.dials.Load())
}

// TestEndOfAnEndpointIsItsOwn asks whether an endpoint that takes no connections has ended, on a VM that hears nothing else.
// Other VMs do not reach one that has.
func TestEndOfAnEndpointIsItsOwn(t *testing.T) {
	l := newTestLinks(t, "e0")
	l.isCut.Store(true)
	assert.True(t, l.scout.Vouches(t.Context(), time.Now(), "e0"))
	assert.False(t, l.scout.Vouches(t.Context(), time.Now(), "e1"))
}

// TestEndOfAllEndpointsIsNoPartition ends all endpoints under requests in flight.
func TestEndOfAllEndpointsIsNoPartition(t *testing.T) {
	l := newTestLinks(t, "e0", "e1", "e2", "e3", "e4", "e5")
	l.scout.Exchanges(1)
	for id := range l.ended {
		_ = l.Reach(t.Context(), id, netip.AddrPort{})
	}
	time.Sleep(time.Second)
	assert.False(t, l.scout.IsPartitioned())
	assert.NotZero(t, l.scout.Counters.Questions.Load())
}

// TestQuestionsAreAnswered asks this VM about endpoints: one that it reaches, one that has ended, and any while it is cut off.
func TestQuestionsAreAnswered(t *testing.T) {
	cases := []struct {
		name                string
		isCut               bool
		endpoint            string
		isKnown, hasReached bool
	}{
		{"a sound one", false, "e1", true, true},
		{"one that has ended", false, "e0", true, false},
		{"any, by a VM that is cut off", true, "e1", false, false},
		{"an unknown one", false, "other", true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLinks(t, "e0")
			l.isCut.Store(c.isCut)
			replies := &replies{payloads: make(chan []byte, 1)}
			l.scout.peers = replies
			payload, err := encode(questionType, question{VM: "vm2", Number: 7, Endpoints: []string{c.endpoint}})
			require.NoError(t, err)
			require.True(t, l.scout.Receive(t.Context(), payload))
			m, err := decode(<-replies.payloads)
			require.NoError(t, err)
			assert.Equal(t, answer{Number: 7, IsKnown: c.isKnown, HasReached: c.hasReached}, m)
		})
	}
}

// TestEndedEndpointHidesNoSoundLinks guards against an answer that tells nothing because the one other endpoint that was tried
// has ended, though the VM reaches all the rest.
func TestEndedEndpointHidesNoSoundLinks(t *testing.T) {
	for range 60 {
		l := newTestLinks(t, "e0")
		assert.True(t, l.scout.hearsOther(t.Context(), time.Now(), []string{"other"}))
		assert.LessOrEqual(t, l.dials.Load(), int64(maxOthers))
	}
	l := newTestLinks(t, "e0", "e1", "e2", "e3", "e4", "e5")
	assert.False(t, l.scout.hearsOther(t.Context(), time.Now(), []string{"other"}))
}

// replies collects what a VM sends.
type replies struct{ payloads chan []byte }

func (*replies) InTouch(int) []string { return nil }

func (r *replies) Send(_ string, payload []byte) { r.payloads <- payload }

// FuzzReceive passes payloads of other VMs to the scout: malformed ones are counted.
func FuzzReceive(f *testing.F) {
	for _, m := range []any{question{VM: "vm2", Number: 1, Endpoints: []string{"e1"}}, question{}} {
		payload, err := encode(questionType, m)
		require.NoError(f, err)
		f.Add(payload)
	}
	f.Add([]byte{answerType})
	f.Fuzz(func(t *testing.T, payload []byte) {
		if !isOwn(payload) {
			return
		}
		m, err := decode(payload)
		if q, ok := m.(question); ok && err == nil {
			assert.NotEmpty(t, q.VM)
			assert.LessOrEqual(t, len(q.Endpoints), maxNamed)
		}
	})
}
