package jobkeeper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobkeeper"
	"github.com/dogwoodledge/dogwoodledge/platform"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	vmCount = 3
	// jobItems is the number of items of every job, of itemTokens each.
	jobItems   = 3
	itemTokens = 10
	// planned is the time within which calls begin and faults last; settled is when everything has come to rest.
	planned = 4 * time.Second
	settled = 12 * time.Second
)

// action is what a caller or a VM does at its time.
type action struct {
	At  time.Duration
	VM  int
	Do  string
	Job int
	// After is the position that a read begins at; Item the one that ends.
	After, Item int
}

// trouble is a fault of the store for some of the VMs.
type trouble struct {
	From, For time.Duration
	VM        int
	Fault     standin.Fault
	// IsOfChanges leaves reads and feeds alone, so that the VM doesn't take the store for lost.
	IsOfChanges bool
}

type plan struct {
	Actions  []action
	Troubles []trouble
	// Stops are the times at which VMs end without a word; never for the last one.
	Stops   map[int]time.Duration
	Forgets []time.Duration
	// MostTokens bounds the tokens that wait on the route; 0 means no bound.
	MostTokens int64
}

func drawPlan(t *rapid.T) plan {
	times := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, int(planned.Milliseconds())).Draw(t, "ms")) * time.Millisecond
	})
	p := plan{Stops: map[int]time.Duration{}}
	p.Actions = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			At: times.Draw(t, "at"), VM: rapid.IntRange(0, vmCount-1).Draw(t, "vm"),
			Do:  rapid.SampledFrom([]string{"submit", "submit", "read", "read", "finish", "finish", "end", "hand"}).Draw(t, "do"),
			Job: rapid.IntRange(0, 1).Draw(t, "job"), After: rapid.IntRange(0, jobItems).Draw(t, "after"),
			Item: rapid.IntRange(0, jobItems-1).Draw(t, "item"),
		}
	}), 4, 24).Draw(t, "actions")
	p.Troubles = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) trouble {
		return trouble{
			From: times.Draw(t, "from"), For: times.Draw(t, "for") / 4, VM: rapid.IntRange(0, vmCount-1).Draw(t, "vm"),
			Fault: rapid.SampledFrom([]standin.Fault{
				standin.Busy, standin.Limited, standin.Reset, standin.Silent, standin.LoseAnswer, standin.DoLate,
			}).Draw(t, "fault"),
			IsOfChanges: rapid.Bool().Draw(t, "of changes only"),
		}
	}), 0, 6).Draw(t, "troubles")
	for vm := range vmCount - 1 {
		if rapid.IntRange(0, 2).Draw(t, "stops") == 0 {
			p.Stops[vm] = times.Draw(t, "stop")
		}
	}
	p.Forgets = rapid.SliceOfN(times, 0, 2).Draw(t, "forgets")
	p.MostTokens = int64(rapid.SampledFrom([]int{0, jobItems * itemTokens}).Draw(t, "most tokens"))
	return p
}

// input and output are a call and what came of it; texts are results as "item=output".
type input struct {
	Do, Job, Text string
	After         int
}

type output struct {
	// Status is 0 when nobody knows whether the call took effect.
	Status  int
	Results []string
}

// history is what callers and VMs saw, in the order of its clock.
type history struct {
	mu    sync.Mutex
	clock int64
	ops   []porcupine.Operation
}

func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

// note records a call; one without a known end may take effect at any later time.
func (h *history) note(call int64, in input, out output) {
	end := h.tick()
	if out.Status == 0 {
		end = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: len(h.ops), Input: in, Call: call, Output: out, Return: end})
}

// jobState is a job as a caller sees it; Results are joined, for states must be comparable.
type jobState struct {
	IsAccepted, IsEnded bool
	Results             string
}

func (s jobState) results() []string {
	if s.Results == "" {
		return nil
	}
	return strings.Split(s.Results, ";")
}

// append returns the state with the result at the next position, unless its item has one or the job isn't there.
func (s jobState) append(text string) jobState {
	item, _, _ := strings.Cut(text, "=")
	results := s.results()
	isDone := slices.ContainsFunc(results, func(r string) bool { return strings.HasPrefix(r, item+"=") })
	if !s.IsAccepted || isDone {
		return s
	}
	s.Results = strings.Join(append(results, text), ";")
	return s
}

var jobModel = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byJob := map[string][]porcupine.Operation{}
		for _, op := range ops {
			job := op.Input.(input).Job
			byJob[job] = append(byJob[job], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byJob {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{jobState{}} },
	Step: func(state, in, out any) []any {
		return stepJob(state.(jobState), in.(input), out.(output))
	},
}

// stepJob returns the states that a job may be in after a call with this outcome.
func stepJob(s jobState, in input, out output) []any {
	switch in.Do {
	case "submit":
		accepted := s
		accepted.IsAccepted = true
		switch out.Status {
		case http.StatusAccepted:
			return []any{accepted}
		case 0:
			return []any{s, accepted}
		default:
			return []any{s}
		}
	case "end":
		ended := s
		ended.IsEnded = s.IsAccepted
		switch {
		case out.Status == http.StatusOK && !s.IsAccepted, out.Status == http.StatusNotFound && s.IsAccepted:
			return nil
		case out.Status == http.StatusOK:
			return []any{ended}
		case out.Status == 0:
			return []any{s, ended}
		default:
			return []any{s}
		}
	case "finish":
		return []any{s, s.append(in.Text)}
	default:
		return stepRead(s, in, out)
	}
}

func stepRead(s jobState, in input, out output) []any {
	results := s.results()
	switch {
	case out.Status == http.StatusNotFound && s.IsAccepted, out.Status == http.StatusOK && !s.IsAccepted:
		return nil
	case out.Status == http.StatusOK:
		rest := results[min(in.After, len(results)):]
		if len(out.Results) > len(rest) || !slices.Equal(out.Results, rest[:len(out.Results)]) {
			return nil
		}
		if len(rest) > 0 && len(out.Results) == 0 {
			return nil
		}
	}
	return []any{s}
}

// testCodec names a job in the path: /read/ID?N, /end/ID; a submission's is /job/ID.
type testCodec struct{}

func (testCodec) Call(r *http.Request) (jobkeeper.Call, bool, error) {
	kind, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch kind {
	case "read":
		after, err := strconv.Atoi(r.URL.RawQuery)
		return jobkeeper.ReadCall{Job: id, After: after, Wait: 300 * time.Millisecond}, true, err
	case "end":
		return jobkeeper.EndCall{Job: id}, true, nil
	default:
		return nil, false, nil
	}
}

func (testCodec) JobID(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/job/") }

func (testCodec) Items([]byte) ([]jobkeeper.Item, error) {
	items := make([]jobkeeper.Item, jobItems)
	for i := range items {
		items[i] = jobkeeper.Item{ID: "i" + strconv.Itoa(i), Path: "/run", Tokens: itemTokens}
	}
	return items, nil
}

func (testCodec) Results(_, _ int, results []jobkeeper.Result) ([]byte, error) {
	texts := []string{}
	for _, r := range results {
		texts = append(texts, r.ID+"="+string(r.Output))
	}
	return json.Marshal(texts)
}

// play is a run of a plan.
type play struct {
	plan    plan
	history *history
	store   *standin.Store
	start   time.Time
	vms     []*jobkeeper.Keeper
	route   registrar.Route
}

// StateOf says that a VM is lost a while after its stop; VMs have no other incarnation.
func (p *play) StateOf(vm string, _ int64) gossiper.State {
	n, err := strconv.Atoi(strings.TrimPrefix(vm, "v"))
	if at, ok := p.plan.Stops[n]; err == nil && ok && time.Since(p.start) > at+gossiper.Silence {
		return gossiper.Lost
	}
	return gossiper.Live
}

func (p *play) LiveVMs() []gossiper.VM {
	var live []gossiper.VM
	for n := range vmCount {
		if name := vmName(n); p.StateOf(name, 1) == gossiper.Live {
			live = append(live, gossiper.VM{Name: name, Incarnation: 1})
		}
	}
	return live
}

func (p *play) HasStoreElsewhere() bool { return true }

func vmName(n int) string { return "v" + strconv.Itoa(n) }

// runPlay plays a plan in virtual time and returns what was seen; the last VM reads every job at the end.
func runPlay(t *testing.T, pl plan) []porcupine.Operation {
	h := &history{}
	synctest.Test(t, func(t *testing.T) {
		p := &play{plan: pl, history: h, store: standin.NewStore(), start: time.Now()}
		p.route = registrar.Route{
			Host: "h", PathPrefix: "/job/", Kind: registrar.KindBatch, Due: time.Minute, WaitingTokens: pl.MostTokens,
			Splits: []registrar.Split{{Service: "s", Weight: 1}},
		}
		cfg := &registrar.Config{Version: 1, Routes: []registrar.Route{p.route}}
		reg := registrar.NewRegistry(cfg.Index(), map[string]registrar.Endpoint{})
		p.store.SetFault(p.fault)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var vms []context.Context
		for n := range vmCount {
			log, _ := logtest.NewNullLogger()
			client := platform.NewStore(netip.MustParseAddrPort("127.0.0.1:1"), vmName(n), platform.WithTransport(p.store.Transport()))
			k := jobkeeper.New(
				jobkeeper.Config{VM: vmName(n), Incarnation: 1, RowBytes: 4096, KeepFor: time.Hour},
				client, testCodec{}, func() *registrar.Registry { return reg }, p, log,
			)
			vmCtx, stop := context.WithCancel(ctx)
			if at, ok := pl.Stops[n]; ok {
				time.AfterFunc(at, stop)
			}
			k.Start(vmCtx)
			p.vms, vms = append(p.vms, k), append(vms, vmCtx)
			context.AfterFunc(ctx, stop)
		}
		for _, a := range pl.Actions {
			time.AfterFunc(a.At, func() { p.run(vms[a.VM], a) })
		}
		for _, at := range pl.Forgets {
			time.AfterFunc(at, p.store.Forget)
		}
		// In the bubble of synctest this is virtual time and takes none.
		time.Sleep(settled)
		for job := range 2 {
			p.run(vms[vmCount-1], action{VM: vmCount - 1, Do: "read", Job: job})
		}
		cancel()
		synctest.Wait()
	})
	return h.ops
}

func (p *play) fault(r *http.Request) standin.Fault {
	now := time.Since(p.start)
	for _, f := range p.plan.Troubles {
		if f.IsOfChanges && r.Method != http.MethodPost {
			continue
		}
		if strings.HasSuffix(r.Header.Get("User-Agent"), "/"+vmName(f.VM)) && now >= f.From && now < f.From+f.For {
			return f.Fault
		}
	}
	return standin.NoFault
}

// run performs an action at a VM and records it; a VM that has ended does nothing.
func (p *play) run(ctx context.Context, a action) {
	if ctx.Err() != nil {
		return
	}
	k, job := p.vms[a.VM], "j"+strconv.Itoa(a.Job)
	in := input{Do: a.Do, Job: job, After: a.After}
	call := p.history.tick()
	switch a.Do {
	case "finish":
		in.Text = fmt.Sprintf("i%d=by v%d at %s", a.Item, a.VM, a.At)
		_, text, _ := strings.Cut(in.Text, "=")
		p.history.note(call, in, output{})
		k.Finish(ctx, job, a.Item, jobkeeper.Result{ID: "i" + strconv.Itoa(a.Item), State: "succeeded", Output: []byte(text)})
		return
	case "hand":
		k.HandOver(ctx, nil)
		return
	}
	path := map[string]string{"submit": "/job/" + job, "read": fmt.Sprintf("/read/%s?%d", job, a.After), "end": "/end/" + job}[a.Do]
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, nil)
	if a.Do == "submit" {
		k.Submit(w, r, p.route)
	} else if !k.ServeCall(w, r) {
		panic("not a call: " + path)
	}
	p.history.note(call, in, seen(ctx, w))
}

// seen is what a caller knows from an answer: a VM that ends meanwhile gives none.
func seen(ctx context.Context, w *httptest.ResponseRecorder) output {
	switch {
	case ctx.Err() != nil, w.Code == http.StatusGatewayTimeout, w.Code == http.StatusBadGateway:
		return output{}
	case w.Code != http.StatusOK:
		return output{Status: w.Code}
	}
	out := output{Status: w.Code}
	if w.Header().Get("Content-Type") == "application/json" && w.Body.String() != "{}" {
		if err := json.Unmarshal(w.Body.Bytes(), &out.Results); err != nil {
			panic(err)
		}
	}
	return out
}

// TestJobsAreLinearizable has callers submit, read and end jobs at three VMs while these finish items, hand jobs over and
// end, and the store refuses, loses answers, does changes late and drops its history. What was seen must have an order in
// which each call takes effect once: a refused job is never there, a result keeps its position and content.
func TestJobsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		ops := runPlay(t, p)
		require.True(rt, isLinearizable(ops), "no order explains %+v", ops)
		requireQuota(rt, p, ops)
	})
}

// TestJobsThatComeAtOnceKeepTheQuota submits two jobs at one VM, and another elsewhere, where only one fits. A VM that
// reads the quota before another acceptance and the version of its row after it takes both in.
func TestJobsThatComeAtOnceKeepTheQuota(t *testing.T) {
	const plays = 300
	p := plan{MostTokens: jobItems * itemTokens, Actions: []action{
		{At: time.Millisecond, VM: 1, Do: "submit", Job: 0},
		{At: time.Millisecond, VM: 1, Do: "submit", Job: 1},
		{At: time.Millisecond, VM: 2, Do: "submit", Job: 1},
	}}
	for range plays {
		ops := runPlay(t, p)
		require.True(t, isLinearizable(ops), "%+v", ops)
		requireQuota(t, p, ops)
		if t.Failed() {
			return
		}
	}
}

func isLinearizable(ops []porcupine.Operation) bool {
	model := jobModel.ToModel()
	return porcupine.CheckOperations(model, ops)
}

// requireQuota checks that no more tokens were taken in than the route allows and finished items made room for.
func requireQuota(t require.TestingT, p plan, ops []porcupine.Operation) {
	if p.MostTokens == 0 {
		return
	}
	accepted, finished := map[string]bool{}, map[string]bool{}
	for _, op := range ops {
		in, out := op.Input.(input), op.Output.(output)
		if in.Do == "read" && out.Status == http.StatusOK {
			accepted[in.Job] = true
		}
		if in.Do == "finish" || in.Do == "end" {
			finished[in.Job] = true
		}
	}
	if len(finished) == 0 {
		assert.LessOrEqual(t, int64(len(accepted)*jobItems*itemTokens), p.MostTokens, "more waits than the route allows")
	}
}

// TestModelRejects shows that the checker refuses histories in which a promise is broken.
func TestModelRejects(t *testing.T) {
	op := func(call, end int64, do string, after int, status int, results ...string) porcupine.Operation {
		in := input{Do: do, Job: "j", After: after}
		if do == "finish" {
			in.Text, results = results[0], nil
		}
		return porcupine.Operation{Input: in, Output: output{Status: status, Results: results}, Call: call, Return: end}
	}
	const never = math.MaxInt64
	submit := op(1, 2, "submit", 0, 202)
	finishA, finishB := op(3, never, "finish", 0, 0, "i0=a"), op(4, never, "finish", 0, 0, "i0=b")
	tests := []struct {
		name string
		ops  []porcupine.Operation
		want bool
	}{
		{"results of two runs, one listed", []porcupine.Operation{
			submit, finishA, finishB, op(5, 6, "read", 0, 200, "i0=a"), op(7, 8, "read", 0, 200, "i0=a"),
		}, true},
		{"a job that is known and then not", []porcupine.Operation{submit, op(5, 6, "read", 0, 404)}, false},
		{"a refused job that is there", []porcupine.Operation{
			op(1, 2, "submit", 0, 503), op(5, 6, "read", 0, 200),
		}, false},
		{"a job of an unknown end that is there", []porcupine.Operation{
			op(1, never, "submit", 0, 0), op(5, 6, "read", 0, 404), op(7, 8, "read", 0, 200),
		}, true},
		{"a position whose content changes", []porcupine.Operation{
			submit, finishA, finishB, op(5, 6, "read", 0, 200, "i0=a"), op(7, 8, "read", 0, 200, "i0=b"),
		}, false},
		{"a result that was read and is gone", []porcupine.Operation{
			submit, finishA, op(5, 6, "read", 0, 200, "i0=a"), op(7, 8, "read", 0, 200),
		}, false},
		{"an item listed twice", []porcupine.Operation{
			submit, finishA, finishB, op(5, 6, "read", 0, 200, "i0=a", "i0=b"),
		}, false},
		{"the end of a job that was never there", []porcupine.Operation{op(5, 6, "end", 0, 200)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, tt.want, isLinearizable(tt.ops)) })
	}
}
