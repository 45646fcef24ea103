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
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
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
	loseMark  = "[lose]"
)

// grantAll grants every reservation.
type grantAll struct{}

func (grantAll) Reserve(_ context.Context, req granter.Request, _ string, _ int) (granter.Slot, error) {
	return granter.Slot{Request: req}, nil
}

func (grantAll) Return(granter.Slot, allocator.Report) {}

// crashingFleet has engines that end, with their ports and connections, when they get a prompt with crashMark, and
// only lose the answer to one with loseMark.
type crashingFleet struct {
	engines map[string]declarer.Endpoint
	ended   atomic.Int64
	// servers holds the running engines; while they hang, they answer nothing.
	servers []*httptest.Server
	isHung  atomic.Bool
	inside  atomic.Int64
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
	f := &crashingFleet{pools: NewPools()}
	log, _ := logtest.NewNullLogger()
	shared := NewSharedRouter(rand.New(rand.NewPCG(1, 1)))
	f.Dispatcher = NewDispatcher(grantAll{}, f, shared, log, func(string) {})
	f.SetRetryBudget(0.1)
	f.startEngines(t, n)
	return f
}

// startEngines starts n engines under the names of those that ran before.
func (f *crashingFleet) startEngines(t *testing.T, n int) {
	t.Helper()
	f.engines = map[string]declarer.Endpoint{}
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
	f.router.Handle(known)
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
		if f.isHung.Load() {
			f.inside.Add(1)
			<-r.Context().Done()
			return
		}
		switch {
		case bytes.Contains(body, []byte(loseMark)):
			panic(http.ErrAbortHandler)
		case !bytes.Contains(body, []byte(crashMark)):
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
	f.servers = append(f.servers, s)
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

// sharedBeginning is longer than two blocks.
const sharedBeginning = "Charge sheets of the northern kilns, " + crashMark + ", with all the dates, weights, rooms and the " +
	"names of the staff on duty in that week: "

// TestBeginningThatCrashesEnginesIsNotSentOn sends requests with one beginning that crashes engines, one after the other, each of
// them new, among sound ones.
func TestBeginningThatCrashesEnginesIsNotSentOn(t *testing.T) {
	t.Parallel()
	f := newCrashingFleet(t, 24)
	quarantined := (*QuarantinedError)(nil)
	for i := range 40 {
		failed := (*RequestFailedError)(nil)
		require.ErrorAs(t, f.ask(t.Context(), fmt.Sprintf("%s%d", sharedBeginning, i)), &failed)
		err := f.ask(t.Context(), fmt.Sprintf("Charge sheets of the southern kilns, with all their dates, weights and rooms: %d", i))
		assert.NotErrorAs(t, err, &quarantined, "a request with another beginning")
		time.Sleep(20 * time.Millisecond)
	}
	assert.LessOrEqual(t, f.ended.Load(), int64(6), "engines that ended under 40 requests")
	assert.ErrorAs(t, f.ask(t.Context(), sharedBeginning+"last"), &quarantined)
}

// TestOutageStopsNoSoundBeginning ends all engines at once while they hang with requests of one beginning, none of which was
// completed shortly before, and starts them again.
func TestOutageStopsNoSoundBeginning(t *testing.T) {
	t.Parallel()
	const engines, requests = 10, 40
	const beginning = "Charge sheets of the southern kilns, with all their dates, weights, rooms and names: "
	f := newCrashingFleet(t, engines)
	f.SetRetryBudget(0)
	f.isHung.Store(true)
	wg := sync.WaitGroup{}
	for i := range requests {
		wg.Go(func() { assert.Error(t, f.ask(t.Context(), fmt.Sprintf("%s%d", beginning, i))) })
		// Requests that are sent at the same moment may all go to the same few engines.
		require.Eventually(t, func() bool { return f.inside.Load() == int64(i+1) }, 3*time.Second, time.Millisecond)
	}
	for _, s := range f.servers {
		_ = s.Config.Close()
	}
	wg.Wait()
	quarantined := (*QuarantinedError)(nil)
	require.Eventually(t, func() bool { return errors.As(f.ask(t.Context(), beginning), &quarantined) },
		time.Second, time.Millisecond, "the beginning of requests under which three engines ended")
	f.isHung.Store(false)
	f.startEngines(t, engines)
	assert.Eventually(t, func() bool { return f.ask(t.Context(), beginning) == nil }, 8*time.Second, 50*time.Millisecond,
		"a request with this beginning after the outage")
}

// TestEndsOfOneEngineQuarantineABeginning starts the only engine again each time it has ended.
func TestEndsOfOneEngineQuarantineABeginning(t *testing.T) {
	t.Parallel()
	f := newCrashingFleet(t, 1)
	quarantined := (*QuarantinedError)(nil)
	for n := range 3 {
		require.NotErrorAs(t, f.ask(t.Context(), fmt.Sprintf("%s%d", sharedBeginning, n)), &quarantined)
		require.Eventually(t, func() bool { return f.quarantine.incarnation("engine-0") == n+1 }, time.Second, time.Millisecond)
		f.startEngines(t, 1)
	}
	assert.ErrorAs(t, f.ask(t.Context(), sharedBeginning), &quarantined)
}

// TestLostAnswersQuarantineNoBeginning makes engines that live on lose the answers to requests with one beginning.
func TestLostAnswersQuarantineNoBeginning(t *testing.T) {
	t.Parallel()
	f := newCrashingFleet(t, 8)
	beginning := strings.ReplaceAll(sharedBeginning, crashMark, loseMark)
	quarantined := (*QuarantinedError)(nil)
	for n := range 12 {
		err := f.ask(t.Context(), fmt.Sprintf("%s%d", beginning, n))
		require.Error(t, err)
		require.NotErrorAs(t, err, &quarantined)
		time.Sleep(confirmDelay)
	}
	time.Sleep(2 * confirmDelay)
	assert.NotErrorAs(t, f.ask(t.Context(), beginning), &quarantined)
}
