package jobmanager_test

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
	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/platform"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	vmCount = 3
	// jobItems is the number of items of every job; each has itemTokens tokens.
	jobItems   = 3
	itemTokens = 10
	keepFor    = time.Hour
	// planned is the period in which actions and faults begin; by settled, all retries and takeovers have ended.
	planned = 4 * time.Second
	settled = 12 * time.Second
	// leaveTime is how long a planned stop takes.
	leaveTime = 2200 * time.Millisecond
)

// action is a call to a VM, or something that the VM does by itself, at a time since the start of the run.
type action struct {
	At  time.Duration
	VM  int
	Do  string
	Job int
	// After is the position at which a read begins, Item the item that finishes.
	After, Item int
}

// faultPeriod is a period in which the store's calls by one VM fail.
type faultPeriod struct {
	From, For time.Duration
	VM        int
	Fault     standin.StoreFault
	// IsWritesOnly leaves reads and feeds working, so that the VM still considers the store reachable.
	IsWritesOnly bool
}

// cutPeriod is a period in which a VM reaches no endpoint.
type cutPeriod struct {
	From, For time.Duration
	VM        int
}

// plan is what happens in one run.
type plan struct {
	Actions []action
	Faults  []faultPeriod
	// Stops are the times at which VMs stop without a handover; the last VM never stops.
	Stops map[int]time.Duration
	// Leaves are the times at which VMs begin a planned stop: they hand their jobs over, and stop leaveTime later. Their peers
	// learn it after newsDelay.
	Leaves    map[int]time.Duration
	newsDelay time.Duration
	// Cuts are the periods in which VMs are partitioned from the endpoints. Their peers learn it, and the end, after newsDelay.
	Cuts []cutPeriod
	// HistoryDrops are the times at which the store drops its history of changes, so that feeds must read all rows again.
	HistoryDrops []time.Duration
	// MaxWaitingTokens bounds the waiting tokens of the route; 0 means no bound.
	MaxWaitingTokens int64
}

func drawPlan(t *rapid.T) plan {
	times := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, int(planned.Milliseconds())).Draw(t, "ms")) * time.Millisecond
	})
	p := plan{Stops: map[int]time.Duration{}, Leaves: map[int]time.Duration{}}
	p.Actions = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			At: times.Draw(t, "at"), VM: rapid.IntRange(0, vmCount-1).Draw(t, "vm"),
			Do:  rapid.SampledFrom([]string{"submit", "submit", "read", "read", "finish", "finish", "end", "handOver"}).Draw(t, "do"),
			Job: rapid.IntRange(0, 1).Draw(t, "job"), After: rapid.IntRange(0, jobItems).Draw(t, "after"),
			Item: rapid.IntRange(0, jobItems-1).Draw(t, "item"),
		}
	}), 4, 24).Draw(t, "actions")
	p.Faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultPeriod {
		return faultPeriod{
			From: times.Draw(t, "from"), For: times.Draw(t, "for") / 4, VM: rapid.IntRange(0, vmCount-1).Draw(t, "vm"),
			Fault: rapid.SampledFrom([]standin.StoreFault{
				standin.Busy, standin.Limited, standin.Reset, standin.Silent, standin.LoseAnswer, standin.ExecuteLate,
			}).Draw(t, "fault"),
			IsWritesOnly: rapid.Bool().Draw(t, "writes only"),
		}
	}), 0, 6).Draw(t, "faults")
	for vm := range vmCount - 1 {
		if rapid.IntRange(0, 2).Draw(t, "stops") == 0 {
			p.Stops[vm] = times.Draw(t, "stop")
		} else if rapid.Bool().Draw(t, "leaves") {
			p.Leaves[vm] = times.Draw(t, "leave")
		}
	}
	p.Cuts = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) cutPeriod {
		return cutPeriod{From: times.Draw(t, "from"), For: times.Draw(t, "for"), VM: rapid.IntRange(0, vmCount-1).Draw(t, "vm")}
	}), 0, 5).Draw(t, "cuts")
	p.newsDelay = time.Duration(rapid.IntRange(0, 1000).Draw(t, "news delay")) * time.Millisecond
	p.HistoryDrops = rapid.SliceOfN(times, 0, 2).Draw(t, "history drops")
	p.MaxWaitingTokens = int64(rapid.SampledFrom([]int{0, jobItems * itemTokens}).Draw(t, "max waiting tokens"))
	return p
}

// input is a call of an operation; Text is a result in the form "item=output".
type input struct {
	Do, Job, Text string
	After         int
}

// output is the outcome of an operation; Results are in the form of input.Text.
type output struct {
	// Status is 0 if the outcome is unknown: the call may or may not have taken effect.
	Status  int
	Results []string
}

// history records the operations of callers and VMs; a logical clock orders their calls and returns.
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

// record records an operation; one with an unknown outcome may take effect at any later time.
func (h *history) record(call int64, in input, out output) {
	end := h.tick()
	if out.Status == 0 {
		end = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: len(h.ops), Input: in, Call: call, Output: out, Return: end})
}

// jobState is the model's state of a job. Results is one string, since states must be comparable.
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

// append returns the state with the result at the next position, unless its item has a result or the job is not accepted.
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

// jobModel is the sequential specification of a job, against which a history is checked.
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

// stepJob returns the states that a job may be in after an operation with this outcome; none if the outcome is wrong.
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

// stepRead is stepJob of a read: it must return results from its position on, at least one if there are any.
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

// testCodec takes the job's id from the path: /read/ID?POSITION, /end/ID, or /job/ID of a submission.
type testCodec struct{}

func (testCodec) Call(r *http.Request) (jobmanager.Call, bool, error) {
	kind, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch kind {
	case "read":
		after, err := strconv.Atoi(r.URL.RawQuery)
		return jobmanager.ReadCall{Job: id, After: after, Wait: 300 * time.Millisecond}, true, err
	case "end":
		return jobmanager.EndCall{Job: id}, true, nil
	default:
		return nil, false, nil
	}
}

func (testCodec) JobID(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/job/") }

func (testCodec) Items([]byte) ([]jobmanager.Item, error) {
	items := make([]jobmanager.Item, jobItems)
	for i := range items {
		items[i] = jobmanager.Item{ID: "i" + strconv.Itoa(i), Path: "/run", Tokens: itemTokens}
	}
	return items, nil
}

func (testCodec) WithoutCredentials(body []byte, _ []jobmanager.Item) ([]byte, error) {
	return body, nil
}

func (testCodec) Results(_, _ int, results []jobmanager.Result) ([]byte, error) {
	texts := []string{}
	for _, r := range results {
		texts = append(texts, r.ID+"="+string(r.Output))
	}
	return json.Marshal(texts)
}

// simulation is one run of a plan. It is also the membership that its VMs observe, but for what each knows of itself.
type simulation struct {
	plan    plan
	history *history
	store   *standin.Store
	start   time.Time
	vms     []*jobmanager.Manager
	// contexts end when the VMs stop.
	contexts []context.Context
	stops    []context.CancelFunc
	route    registrar.Route
	config   *registrar.Config

	mu sync.Mutex
	// leftAt holds the times at which VMs began to hand their jobs over.
	leftAt map[int]time.Time
	// stoppedAt holds the times at which stopVM stopped VMs, since the start of the run.
	stoppedAt map[int]time.Duration
}

// stopVM stops a VM at once, without a handover.
func (p *simulation) stopVM(vm int) {
	p.mu.Lock()
	p.stoppedAt[vm] = time.Since(p.start)
	p.mu.Unlock()
	p.stops[vm]()
}

// StateOf reports a VM as lost once it has been stopped for longer than gossiper.SilenceTimeout, and as leaving once its peers
// know that it hands its jobs over; VMs have one incarnation.
func (p *simulation) StateOf(vm string, _ int64) gossiper.State {
	n, err := strconv.Atoi(strings.TrimPrefix(vm, "v"))
	if err != nil {
		return gossiper.Live
	}
	at, ok := p.plan.Stops[n]
	if leave, isPlanned := p.plan.Leaves[n]; isPlanned {
		at, ok = leave+leaveTime, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if stopped, wasStopped := p.stoppedAt[n]; wasStopped {
		at, ok = stopped, true
	}
	left, isLeaving := p.leftAt[n]
	switch {
	case ok && time.Since(p.start) > at+gossiper.SilenceTimeout:
		return gossiper.Lost
	case isLeaving && time.Since(left) >= p.plan.newsDelay:
		return gossiper.Leaving
	default:
		return gossiper.Live
	}
}

// leave begins the planned stop of a VM.
func (p *simulation) leave(ctx context.Context, vm int) {
	p.mu.Lock()
	if _, ok := p.leftAt[vm]; !ok {
		p.leftAt[vm] = time.Now()
	}
	p.mu.Unlock()
	p.vms[vm].HandOver(ctx, func(string) []int { return nil })
}

func (p *simulation) LiveVMs() []gossiper.VMIncarnation {
	var live []gossiper.VMIncarnation
	for n := range vmCount {
		if name := vmName(n); p.StateOf(name, 1) == gossiper.Live {
			live = append(live, gossiper.VMIncarnation{Name: name, Incarnation: 1})
		}
	}
	return live
}

func (p *simulation) HasStoreElsewhere() bool { return true }

// isCut reports whether the VM was partitioned from the endpoints at a time since the start of the run.
func (p *simulation) isCut(vm int, at time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.plan.Cuts, func(c cutPeriod) bool { return c.VM == vm && at >= c.From && at < c.From+c.For })
}

// setPartitioned tells the VM whether it is partitioned now.
func (p *simulation) setPartitioned(vm int) {
	if p.contexts[vm].Err() == nil {
		runs := jobmanager.ItemRuns{Running: func(string) []int { return nil }}
		p.vms[vm].SetPartitioned(p.contexts[vm], p.isCut(vm, time.Since(p.start)), runs)
	}
}

// membersOf is the membership that one VM observes.
type membersOf struct {
	*simulation
	vm int
}

// VMsInTouch returns the live VMs but this one, if it is partitioned, and those of which it knows that they are.
func (m membersOf) VMsInTouch() []gossiper.VMIncarnation {
	now := time.Since(m.start)
	return slices.DeleteFunc(m.LiveVMs(), func(vm gossiper.VMIncarnation) bool {
		if vm.Name == vmName(m.vm) {
			return m.isCut(m.vm, now)
		}
		return m.isCut(int(vm.Name[1]-'0'), now-m.plan.newsDelay)
	})
}

func vmName(n int) string { return "v" + strconv.Itoa(n) }

func jobName(n int) string { return "j" + strconv.Itoa(n) }

// simulate runs a plan in virtual time and returns the operations; at the end the last VM reads every job.
func simulate(t *testing.T, pl plan) []porcupine.Operation {
	h := &history{}
	synctest.Test(t, func(t *testing.T) {
		p, stop := newSimulation(t, pl, h)
		// Virtual time inside the bubble of synctest: the sleep takes no real time.
		time.Sleep(settled)
		for job := range 2 {
			p.run(action{VM: vmCount - 1, Do: "read", Job: job})
		}
		p.requireHeld(t)
		stop()
	})
	return h.ops
}

// newSimulation starts the VMs and the actions of a plan; it is called within a bubble of synctest. stop ends them.
func newSimulation(t *testing.T, pl plan, h *history) (p *simulation, stop func()) {
	p = &simulation{
		plan: pl, history: h, store: standin.NewStore(), start: time.Now(),
		leftAt: map[int]time.Time{}, stoppedAt: map[int]time.Duration{},
	}
	p.route = registrar.Route{
		Host: "h", PathPrefix: "/job/", Kind: registrar.KindBatch, DueAfter: time.Minute, WaitingTokens: pl.MaxWaitingTokens,
		Splits: []registrar.Split{{Service: "s", Weight: 1}},
	}
	p.config = (&registrar.Config{Version: 1, Routes: []registrar.Route{p.route}}).Index()
	reg := registrar.NewRegistry(p.config, map[string]registrar.Endpoint{})
	p.store.SetFault(p.fault)
	ctx, cancel := context.WithCancel(t.Context())
	for n := range vmCount {
		log, _ := logtest.NewNullLogger()
		client := platform.NewStore(netip.MustParseAddrPort("127.0.0.1:1"), vmName(n), platform.WithTransport(p.store.Transport()))
		m := jobmanager.New(
			jobmanager.Config{VM: vmName(n), Incarnation: 1, RowBytes: 4096, KeepFor: keepFor},
			client, testCodec{}, func() *registrar.Registry { return reg }, membersOf{simulation: p, vm: n}, log,
		)
		vmCtx, stopVM := context.WithCancel(ctx)
		if at, ok := pl.Stops[n]; ok {
			time.AfterFunc(at, stopVM)
		}
		if at, ok := pl.Leaves[n]; ok {
			time.AfterFunc(at+leaveTime, stopVM)
		}
		m.Start(vmCtx)
		p.vms, p.contexts, p.stops = append(p.vms, m), append(p.contexts, vmCtx), append(p.stops, stopVM)
		context.AfterFunc(ctx, stopVM)
	}
	for n, at := range pl.Leaves {
		time.AfterFunc(at, func() { p.leave(p.contexts[n], n) })
	}
	for _, c := range pl.Cuts {
		time.AfterFunc(c.From, func() { p.setPartitioned(c.VM) })
		time.AfterFunc(c.From+c.For, func() { p.setPartitioned(c.VM) })
	}
	for _, a := range pl.Actions {
		time.AfterFunc(a.At, func() { p.run(a) })
	}
	for _, at := range pl.HistoryDrops {
		time.AfterFunc(at, p.store.DropHistory)
	}
	return p, func() {
		cancel()
		synctest.Wait()
	}
}

// isHeld reports whether a VM that neither leaves nor is partitioned nor has stopped would run the items of the job.
func (p *simulation) isHeld(job string) bool {
	for n, m := range p.vms {
		if p.contexts[n].Err() == nil && slices.ContainsFunc(m.Held(), func(h jobmanager.HeldJob) bool { return h.Job.ID == job }) {
			return true
		}
	}
	return false
}

// requireHeld checks that each job that is not over is held by a VM that runs its items, if there is such a VM.
func (p *simulation) requireHeld(t *testing.T) {
	last := vmCount - 1
	p.mu.Lock()
	_, isLeaving := p.leftAt[last]
	p.mu.Unlock()
	if isLeaving {
		return
	}
	for job := range 2 {
		id := jobName(job)
		assert.True(t, p.vms[last].IsOver(id) || p.isHeld(id), "nobody runs job %s: %+v", id, p.plan)
	}
}

// fault returns the fault that the plan has now for the request of a VM.
func (p *simulation) fault(r *http.Request) standin.StoreFault {
	now := time.Since(p.start)
	for _, f := range p.plan.Faults {
		if f.IsWritesOnly && r.Method != http.MethodPost {
			continue
		}
		if strings.HasSuffix(r.Header.Get("User-Agent"), "/"+vmName(f.VM)) && now >= f.From && now < f.From+f.For {
			return f.Fault
		}
	}
	return standin.NoFault
}

// run performs an action at a VM and records its outcome; a stopped VM does nothing.
func (p *simulation) run(a action) {
	ctx := p.contexts[a.VM]
	if ctx.Err() != nil {
		return
	}
	m, job := p.vms[a.VM], jobName(a.Job)
	in := input{Do: a.Do, Job: job, After: a.After}
	call := p.history.tick()
	switch a.Do {
	case "finish":
		in.Text = fmt.Sprintf("i%d=by v%d at %s", a.Item, a.VM, a.At)
		_, text, _ := strings.Cut(in.Text, "=")
		p.history.record(call, in, output{})
		m.Finish(ctx, job, a.Item, jobmanager.Result{ID: "i" + strconv.Itoa(a.Item), State: "succeeded", Output: []byte(text)})
		return
	case "handOver":
		p.leave(ctx, a.VM)
		return
	}
	path := map[string]string{"submit": "/job/" + job, "read": fmt.Sprintf("/read/%s?%d", job, a.After), "end": "/end/" + job}[a.Do]
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, nil)
	if a.Do == "submit" {
		m.Submit(w, r, p.route)
	} else {
		m.HandlerOf(r, p.config)(w, r)
	}
	p.history.record(call, in, outcomeOf(ctx, w))
}

// outcomeOf returns the outcome that the caller learns from the answer: unknown if the VM stopped during the call, or if the
// answer says so.
func outcomeOf(ctx context.Context, w *httptest.ResponseRecorder) output {
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

// TestJobsAreLinearizable has callers submit, read and end jobs at three VMs. Meanwhile the VMs finish items, are partitioned
// from the endpoints, hand jobs over and stop, and the store refuses calls, loses answers, executes writes late and drops its
// history. The operations must be linearizable: a refused job never exists, and a result keeps its position and content.
func TestJobsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		ops := simulate(t, p)
		require.True(rt, isLinearizable(ops), "history is not linearizable: %+v", ops)
		requireQuota(rt, p, ops)
	})
}

// TestJobsThatComeAtOnceKeepTheQuota submits two jobs at once, one of them at two VMs, on a route with room for one. It
// guards against a VM that counts the waiting tokens before another acceptance but reads the version of the admission row
// after it, and so accepts both jobs.
func TestJobsThatComeAtOnceKeepTheQuota(t *testing.T) {
	const runs = 300
	p := plan{MaxWaitingTokens: jobItems * itemTokens, Actions: []action{
		{At: time.Millisecond, VM: 1, Do: "submit", Job: 0},
		{At: time.Millisecond, VM: 1, Do: "submit", Job: 1},
		{At: time.Millisecond, VM: 2, Do: "submit", Job: 1},
	}}
	for range runs {
		ops := simulate(t, p)
		require.True(t, isLinearizable(ops), "history is not linearizable: %+v", ops)
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

// requireQuota checks that the jobs that were read hold at most the tokens that the route allows. It checks only histories
// without a finished item or ended job, since those make room for more.
func requireQuota(t require.TestingT, p plan, ops []porcupine.Operation) {
	if p.MaxWaitingTokens == 0 {
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
		assert.LessOrEqual(t, int64(len(accepted)*jobItems*itemTokens), p.MaxWaitingTokens, "waiting tokens exceed the route's quota")
	}
}

// TestModelRejects checks that the model rejects histories that violate a guarantee, and accepts those that don't.
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
		{"two VMs finish an item, one result is listed", []porcupine.Operation{
			submit, finishA, finishB, op(5, 6, "read", 0, 200, "i0=a"), op(7, 8, "read", 0, 200, "i0=a"),
		}, true},
		{"an accepted job is not found", []porcupine.Operation{submit, op(5, 6, "read", 0, 404)}, false},
		{"a refused job exists", []porcupine.Operation{
			op(1, 2, "submit", 0, 503), op(5, 6, "read", 0, 200),
		}, false},
		{"a submission of unknown outcome takes effect later", []porcupine.Operation{
			op(1, never, "submit", 0, 0), op(5, 6, "read", 0, 404), op(7, 8, "read", 0, 200),
		}, true},
		{"the content of a position changes", []porcupine.Operation{
			submit, finishA, finishB, op(5, 6, "read", 0, 200, "i0=a"), op(7, 8, "read", 0, 200, "i0=b"),
		}, false},
		{"a result disappears after it was read", []porcupine.Operation{
			submit, finishA, op(5, 6, "read", 0, 200, "i0=a"), op(7, 8, "read", 0, 200),
		}, false},
		{"an item is listed twice", []porcupine.Operation{
			submit, finishA, finishB, op(5, 6, "read", 0, 200, "i0=a", "i0=b"),
		}, false},
		{"a job that never existed is ended", []porcupine.Operation{op(5, 6, "end", 0, 200)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, tt.want, isLinearizable(tt.ops)) })
	}
}
