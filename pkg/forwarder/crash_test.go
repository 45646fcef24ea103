package forwarder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
	"github.com/dogwoodledge/dogwoodledge/pkg/encoder"
	"github.com/dogwoodledge/dogwoodledge/pkg/granter"
)

const (
	testModel = "m"
	crashMark = "[crash]"
)

// grantAll grants every reservation.
type grantAll struct{}

func (grantAll) Reserve(_ context.Context, req granter.Request, _ string, _ int) (granter.Slot, error) {
	return granter.Slot{Request: req}, nil
}

func (grantAll) Return(granter.Slot, allocator.Report) {}

// crashingFleet has engines that end, with their ports and connections, when they get a prompt with crashMark.
type crashingFleet struct {
	engines map[string]declarer.Endpoint
	ended   atomic.Int64
	pools   *Pools
	*Dispatcher
}

func (f *crashingFleet) Endpoint(name string) (declarer.Endpoint, bool) {
	e, ok := f.engines[name]
	return e, ok
}

func (*crashingFleet) OnlinePolicy() declarer.OnlinePolicy { return declarer.OnlinePolicy{} }

// newCrashingFleet returns a dispatcher that may retry a tenth of its requests at n engines.
func newCrashingFleet(t *testing.T, n int) *crashingFleet {
	t.Helper()
	f := &crashingFleet{engines: map[string]declarer.Endpoint{}, pools: NewPools()}
	known := router.Configured{Region: "r", AvailabilityZone: "a"}
	for i := range n {
		e := declarer.Endpoint{
			Meta: declarer.Meta{Name: fmt.Sprintf("engine-%d", i)}, Address: f.startEngine(t),
			Region: "r", AvailabilityZone: "a", Models: []string{testModel}, Slots: 10,
		}
		f.engines[e.Name] = e
		known.Endpoints = append(known.Endpoints, router.Endpoint{
			Name: e.Name, Region: e.Region, AvailabilityZone: e.AvailabilityZone, Serves: e.Models, Slots: e.Slots,
		})
	}
	log, _ := logtest.NewNullLogger()
	shared := NewSharedRouter(rand.New(rand.NewPCG(1, 1)))
	shared.Handle(known)
	f.Dispatcher = NewDispatcher(grantAll{}, f, shared, log, func(string) {})
	f.SetRetryBudget(0.1)
	return f
}

func (f *crashingFleet) startEngine(t *testing.T) netip.AddrPort {
	t.Helper()
	timing := emulator.DefaultEngineTiming()
	timing.StepBase, timing.StepPerSequence = time.Millisecond, 0
	engine := emulator.NewEngine(timing, false)
	go engine.Run(t.Context())
	handler := emulator.EngineHandler(engine)
	once := sync.Once{}
	s := httptest.NewUnstartedServer(nil)
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if !bytes.Contains(body, []byte(crashMark)) {
			r.Body = io.NopCloser(bytes.NewReader(body))
			handler.ServeHTTP(w, r)
			return
		}
		once.Do(func() {
			f.ended.Add(1)
			_ = s.Config.Close()
		})
		panic(http.ErrAbortHandler)
	})
	s.Start()
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func (f *crashingFleet) ask(ctx context.Context, prompt string) error {
	req := encoder.ChatRequest{Messages: []encoder.Message{{Role: "user", Content: prompt}}}
	body := fmt.Sprintf(`{"model":"m","max_tokens":2,"stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
	call := Call{
		Serves: testModel, Blocks: encoder.PromptBlocks(encoder.PromptText(req)), Tokens: 2, Bytes: len(body),
		Deadline: time.Now().Add(10 * time.Second), IsRepeatable: true,
	}
	_, err := f.Chat(ctx, f.pools, call, []byte(body), func(Piece) error { return nil })
	return err
}

// TestRequestThatCrashesEnginesIsNotSentOn sends one request that crashes engines after sound ones have filled the retry budget.
func TestRequestThatCrashesEnginesIsNotSentOn(t *testing.T) {
	t.Parallel()
	f := newCrashingFleet(t, 16)
	for i := range 120 {
		require.NoError(t, f.ask(t.Context(), fmt.Sprintf("Card %d", i)))
	}
	failed := (*RequestFailedError)(nil)
	require.ErrorAs(t, f.ask(t.Context(), crashMark), &failed)
	assert.IsType(t, outcome.Unknown{}, failed.Outcome)
	assert.LessOrEqual(t, f.ended.Load(), int64(2), "engines that ended under one request")
	assert.NoError(t, f.ask(t.Context(), "A card"), "a sound request after it")
}
