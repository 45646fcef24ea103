//go:build beside

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	// longStep is the time between two events of a long item. A VM looks every 1.5 s whether an item has 30 new events, which
	// it then saves as a checkpoint.
	longStep = 25 * time.Millisecond
	// longSlots is how many long items an endpoint runs at once.
	longSlots    = 8
	pollInterval = 20 * time.Millisecond
)

var (
	// long is the route of batch jobs whose items run for seconds, at endpoints of their own.
	long = kind{prefix: "/long/", routeKind: "batch_job", service: "long", extra: batchJobs.extra}
	// late is a route that is added to the configuration while VMs run.
	late = kind{prefix: "/late/", routeKind: "safe", service: "app"}
)

// TestBeside runs VMs of two builds in one fleet: the old build, from the folder BESIDE_OLD, and the build of this source.
func TestBeside(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"planned stops": besidePlannedStops, "killed holder": besideKilledHolder, "store lost": besideStoreLost,
		"reports": besideReports,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t)
		})
	}
}

// beside is a fleet with a VM of the old build, front-1, and one of the new build, front-2.
type beside struct {
	*fleet
	t        *testing.T
	old, new string
	record   *standin.Recorder
	callers  *callers
	// events is the number of events of a long item's output.
	events int
	client *http.Client
	sent   int
	// refused lists requests that must not have run.
	refused []string
	jobs    []*longJob
}

func newBeside(t *testing.T, endpoints, events int) *beside {
	old := os.Getenv("BESIDE_OLD")
	require.NotEmpty(t, old, "BESIDE_OLD is empty: use make beside BASE=<commit>")
	store := standin.NewStore()
	r := standin.NewRecorder(store)
	r.SetBuild("front-1", old)
	r.SetBuild("front-2", binaries)
	b := &beside{t: t, old: old, new: binaries, record: r, events: events, client: &http.Client{}}
	b.fleet = newFleetOf(t, store, r, old, binaries)
	b.callers = &callers{fleet: b.fleet, outages: newOutages()}
	for range endpoints {
		b.addEndpoint(long.service, func(e *standin.Endpoint) { e.Events, e.Step = events, longStep })
	}
	b.configure(long, late)
	for _, v := range b.vms {
		b.awaitStatus(v, late, http.StatusOK)
	}
	return b
}

// await waits until the condition holds. It runs the condition on the test's own goroutine, so that a failed requirement in
// it ends the test.
func (b *beside) await(what string, isTrue func() bool) {
	b.t.Helper()
	for limit := time.Now().Add(waitTimeout); !isTrue(); time.Sleep(pollInterval) {
		require.True(b.t, time.Now().Before(limit), "not within %s: %s", waitTimeout, what)
	}
}

// awaitStatus sends requests of the kind to the VM until one has the wanted status; earlier ones may find the route or not.
func (b *beside) awaitStatus(v *vm, k kind, want int) {
	b.t.Helper()
	b.await(fmt.Sprintf("%s answers %s with %d", v.name, k.prefix, want), func() bool {
		b.sent++
		a := b.callers.send(b.client, v, k, fmt.Sprintf("asked-%d", b.sent))
		switch {
		case a.status == http.StatusOK:
			assert.Empty(b.t, a.check())
		case a.status == http.StatusNotFound || isRefusal(a.status):
			// A request that arrives while its route changes may be refused.
			b.refused = append(b.refused, a.id)
		default:
			assert.Fail(b.t, "wrong answer on a route that changes", "status %d from %s", a.status, v.name)
		}
		return a.status == want
	})
}

// start starts the VM with the build, on the settings file and the rows that the VM's earlier process left.
func (b *beside) start(v *vm, build string) {
	b.t.Helper()
	v.mu.Lock()
	v.build = build
	v.mu.Unlock()
	b.record.SetBuild(v.name, build)
	v.start()
	b.await(v.name+" is ready", v.isReady)
}

// stop ends the VM by SIGTERM and requires exit code 0; a VM that doesn't exit in time is killed, which gives another code.
func (b *beside) stop(v *vm) {
	b.t.Helper()
	_, code := v.end(syscall.SIGTERM, grace+slack)
	assert.Zero(b.t, code, "exit code of %s", v.name)
}

// longJob is a batch job on the long route and the results read of it so far.
type longJob struct {
	id     string
	bodies map[string]string
	listed []result
}

// submit submits a job of the given number of items, with bodies of at least size bytes; the VM must accept the first attempt.
func (b *beside) submit(v *vm, items, size int) *longJob {
	b.t.Helper()
	j := &longJob{id: fmt.Sprintf("job-%d", len(b.jobs)), bodies: map[string]string{}}
	b.jobs = append(b.jobs, j)
	var list []map[string]any
	for n := range items {
		id := fmt.Sprintf("%s-i%d", j.id, n)
		j.bodies[id] = "body of " + id + strings.Repeat(".", size)
		list = append(list, map[string]any{
			"id": id, "path": long.prefix + id, "body": []byte(j.bodies[id]), "tokens": 940,
			"headers": map[string]string{"X-Model": "m", "X-Token-Count": "540,400"},
		})
	}
	code, text := b.callers.callJob(v, http.MethodPost, long.prefix+j.id, j.id, map[string]any{"items": list})
	require.Equal(b.t, http.StatusAccepted, code, "%s of job %s: %s", v.name, j.id, text)
	return j
}

// read reads the job's results through the VM. Each must be the complete output of an item and keep its position.
func (b *beside) read(v *vm, j *longJob) string {
	b.t.Helper()
	code, text := b.callers.callJob(v, http.MethodGet, "/lots/"+j.id+"?after=0", "read-"+j.id, nil)
	require.Equal(b.t, http.StatusOK, code, "%s of job %s: %s", v.name, j.id, text)
	page := struct {
		Total   int
		Next    int
		Results []result
	}{}
	require.NoError(b.t, json.Unmarshal(text, &page))
	require.Equal(b.t, len(j.bodies), page.Total, "total of job %s from %s", j.id, v.name)
	require.Equal(b.t, len(page.Results), page.Next)
	isListed := map[string]bool{}
	for n, r := range page.Results {
		require.Contains(b.t, j.bodies, r.ID)
		require.False(b.t, isListed[r.ID], "item %s is listed twice", r.ID)
		isListed[r.ID] = true
		require.Equal(b.t, result{r.ID, "succeeded", standin.CompleteOutput(r.ID, b.events)}, r)
		if n < len(j.listed) {
			require.Equal(b.t, j.listed[n], r, "position %d of job %s from %s", n, j.id, v.name)
		}
	}
	if len(page.Results) > len(j.listed) {
		j.listed = page.Results
	}
	return string(text)
}

// awaitResults reads the job through the VM until n results were listed.
func (b *beside) awaitResults(v *vm, j *longJob, n int) {
	b.t.Helper()
	b.await(fmt.Sprintf("%s lists %d results of job %s", v.name, n, j.id), func() bool {
		b.read(v, j)
		return len(j.listed) >= n
	})
}

// requireComplete waits for all results and reads them through each VM, which must give the same bytes.
func (b *beside) requireComplete(j *longJob) {
	b.t.Helper()
	b.awaitResults(b.vms[0], j, len(j.bodies))
	for _, v := range b.vms[1:] {
		require.Equal(b.t, b.read(b.vms[0], j), b.read(v, j), "job %s through %s", j.id, v.name)
	}
}

// endJob ends the job through the VM.
func (b *beside) endJob(v *vm, j *longJob) {
	b.t.Helper()
	code, text := b.callers.callJob(v, http.MethodDelete, "/lots/"+j.id, "end-"+j.id, nil)
	require.Equal(b.t, http.StatusOK, code, "%s of job %s: %s", v.name, j.id, text)
}

// checkRuns checks that endpoints received each item of the jobs with its own body and path, no item of other jobs, and no
// request that was refused.
func (b *beside) checkRuns() {
	b.t.Helper()
	bodies := map[string]string{}
	for _, j := range b.jobs {
		for id, body := range j.bodies {
			bodies[id] = body
		}
	}
	for _, r := range b.runs() {
		assert.NotContains(b.t, b.refused, r.ID, "refused and run")
		if strings.HasPrefix(r.Path, long.prefix) {
			assert.Equal(b.t, long.prefix+r.ID, r.Path)
			assert.True(b.t, r.Body == bodies[r.ID], "body of item %s at its endpoint", r.ID)
		}
	}
}

// rowGone is the warning of a VM whose first read of the table of VMs began before its own row was written, in the present words
// and in those of builds before 74d5607. It does not show that the builds misunderstand each other.
var rowGone = []string{
	"VM's row is gone from the store or out of date, written again", "VM's row is gone from the store, written again",
}

// checkLogs checks that no VM logged a panic, a warning or an error.
func (b *beside) checkLogs() {
	b.t.Helper()
	assert.Empty(b.t, b.logViolations())
	for _, v := range b.vms {
		text, err := os.ReadFile(v.log)
		require.NoError(b.t, err)
		for line := range strings.Lines(string(text)) {
			entry := struct{ Level, Msg string }{}
			if json.Unmarshal([]byte(line), &entry) != nil || entry.Level != "info" && !slices.Contains(rowGone, entry.Msg) {
				assert.Fail(b.t, "unexpected line in the log of "+v.name, line)
			}
		}
	}
}

// checkForms checks that both builds wrote rows and objects with the same tables, keys, fields and types.
func (b *beside) checkForms() {
	b.t.Helper()
	form := b.record.Form(b.old)
	assert.Equal(b.t, form, b.record.Form(b.new), "form of what the old build and the new build wrote")
	b.t.Logf("each build wrote %d forms of keys and fields", len(form))
}

// online is traffic of callers that send requests only to VMs that report to be ready.
type online struct {
	mu       sync.Mutex
	attempts []attempt
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

func (b *beside) startOnline(n int) *online {
	ctx, stop := context.WithCancel(context.Background())
	o := &online{stop: stop}
	b.t.Cleanup(stop)
	for i := range n {
		o.wg.Go(func() { b.runOnline(ctx, o, i) })
	}
	return o
}

func (b *beside) runOnline(ctx context.Context, o *online, n int) {
	client := &http.Client{Transport: &http.Transport{}}
	list := []kind{status, book, draft, note}
	for i := 0; ctx.Err() == nil; i++ {
		v := b.vms[(n+i)%len(b.vms)]
		if !v.isReady() {
			continue
		}
		a := b.callers.send(client, v, list[(n+i/2)%len(list)], fmt.Sprintf("online-%d-%d", n, i))
		o.mu.Lock()
		o.attempts = append(o.attempts, a)
		o.mu.Unlock()
	}
}

// checkOnline ends the traffic and checks that each request got its complete answer, and that each that may run at most once
// ran exactly once.
func (b *beside) checkOnline(o *online) {
	b.t.Helper()
	o.stop()
	o.wg.Wait()
	count := map[string]int{}
	for _, r := range b.runs() {
		count[r.ID]++
	}
	byVM := map[string]int{}
	for _, a := range o.attempts {
		byVM[a.vm]++
		assert.Empty(b.t, a.check())
		assert.Equal(b.t, http.StatusOK, a.status, "%s%s at %s", a.kind.prefix, a.id, a.vm)
		assert.True(b.t, a.isComplete, "%s%s at %s", a.kind.prefix, a.id, a.vm)
		if a.kind.isOnce {
			assert.Equal(b.t, 1, count[a.id], "runs of %s%s", a.kind.prefix, a.id)
		}
	}
	for _, v := range b.vms {
		assert.Positive(b.t, byVM[v.name], "requests at %s", v.name)
	}
	b.t.Logf("%d online requests by VM: %v", len(o.attempts), byVM)
}

// hasKept reports whether the VM handed a job over while it still ran items of it.
func (b *beside) hasKept(v *vm) bool {
	return b.record.Has(func(w standin.Write) bool {
		row := struct {
			Leaver struct{ VM string }
			Holder struct{ VM string }
			Kept   []int
		}{}
		return w.VM == v.name && w.Table == "job" && json.Unmarshal(w.Value, &row) == nil &&
			row.Leaver.VM == v.name && row.Holder.VM != v.name && row.Holder.VM != "" && len(row.Kept) > 0
	})
}

func (b *beside) hasCheckpoint(v *vm, j *longJob) bool {
	return b.record.Has(func(w standin.Write) bool {
		return w.VM == v.name && w.Table == "checkpoint" && strings.HasPrefix(w.Key, j.id+"/")
	})
}

// besidePlannedStops stops each VM by SIGTERM while the other one serves, and starts each build on rows that the other wrote.
func besidePlannedStops(t *testing.T) {
	const items = 24
	b := newBeside(t, 2, 160)
	first, second := b.vms[0], b.vms[1]
	traffic := b.startOnline(4)
	b.changeRoutes()
	b.endOther()
	b.readObjects()

	atOld, atNew := b.submit(first, items, 0), b.submit(second, items, 0)
	b.await("both VMs wrote checkpoints", func() bool {
		return b.hasCheckpoint(first, atOld) && b.hasCheckpoint(second, atNew)
	})
	b.read(second, atOld)
	b.read(first, atNew)
	b.stop(first)
	assert.True(t, b.hasKept(first), "the old build handed its job over with items under way")
	// Not front-1 again: peers drop the reports of a restarted VM until their sequence numbers exceed those of its earlier process
	// (KNOWN-RED.txt).
	b.record.SetBuild("front-3", b.old)
	b.addVM(b.old)
	third := b.vms[2]
	b.await("front-3 is ready", third.isReady)
	atBoth := b.submit(second, items, 0)
	b.awaitResults(third, atBoth, 1)
	b.stop(second)
	assert.True(t, b.hasKept(second), "the new build handed its job over with items under way")

	// Each build starts with the settings file and the rows that the other one used.
	b.start(first, b.new)
	again := b.submit(third, items, 0)
	b.awaitResults(first, again, 1)
	b.start(second, b.old)
	for _, j := range []*longJob{atOld, atNew, atBoth, again} {
		b.requireComplete(j)
	}
	b.stop(third)
	for n, v := range b.vms[:2] {
		j := b.submit(v, longSlots, 0)
		b.awaitResults(b.vms[1-n], j, longSlots)
	}
	b.checkOnline(traffic)
	b.checkRuns()
	for _, v := range b.vms {
		b.stop(v)
	}
	b.checkLogs()
	b.checkForms()
}

// changeRoutes removes a route from the configuration and adds it again, and waits each time until every VM applies that.
func (b *beside) changeRoutes() {
	for range 2 {
		b.configure(long)
		for _, v := range b.vms {
			b.awaitStatus(v, late, http.StatusNotFound)
		}
		b.configure(long, late)
		for _, v := range b.vms {
			b.awaitStatus(v, late, http.StatusOK)
		}
	}
}

// endOther ends a job of each VM through the other one.
func (b *beside) endOther() {
	for n, v := range b.vms[:2] {
		other := b.vms[1-n]
		j := b.submit(v, 4, 0)
		b.endJob(other, j)
		b.await("both VMs list the same results of ended job "+j.id, func() bool { return b.read(v, j) == b.read(other, j) })
	}
}

// readObjects submits to each VM a job that is kept as an object, and reads its items through the other one.
func (b *beside) readObjects() {
	const bytes = 150 << 10
	for n, v := range b.vms {
		other := b.vms[1-n]
		j := b.submit(v, 4, bytes)
		for id, body := range j.bodies {
			code, text := b.callers.callJob(other, http.MethodGet, "/items/"+j.id+"?id="+id, "body-"+id, nil)
			require.Equal(b.t, http.StatusOK, code, "%s of item %s", other.name, id)
			require.True(b.t, body == string(text), "body of item %s from %s", id, other.name)
		}
	}
}

// besideKilledHolder kills each VM in turn; the other one resumes its job from the checkpoints that it wrote.
func besideKilledHolder(t *testing.T) {
	b := newBeside(t, 2, 200)
	for n, v := range b.vms {
		other := b.vms[1-n]
		j := b.submit(v, 12, 0)
		b.await(v.name+" wrote a checkpoint", func() bool { return b.hasCheckpoint(v, j) })
		v.end(syscall.SIGKILL, waitTimeout)
		killedAt := time.Now()
		b.awaitResults(other, j, len(j.bodies))
		isResumed := false
		for _, r := range b.runs() {
			isResumed = isResumed || r.At.After(killedAt) && r.LastEvent != ""
		}
		assert.True(t, isResumed, "%s resumed no item from a checkpoint of %s", other.name, v.name)
		v.start()
		b.await(v.name+" is ready", v.isReady)
		b.requireComplete(j)
	}
	b.checkRuns()
	for _, v := range b.vms {
		b.stop(v)
	}
	b.checkLogs()
}

// besideStoreLost makes the store refuse each VM in turn; that VM must learn a new configuration from the other one.
func besideStoreLost(t *testing.T) {
	b := newBeside(t, 1, 10)
	for _, v := range b.vms {
		b.configure(long)
		for _, each := range b.vms {
			b.awaitStatus(each, late, http.StatusNotFound)
		}
		refused := atomic.Int64{}
		b.store.SetFault(func(r *http.Request) standin.StoreFault {
			if standin.VMOf(r) != v.name {
				return standin.NoFault
			}
			if r.URL.Path == "/rows-feed" && r.URL.Query().Get("table") == platform.OperatorTable {
				refused.Add(1)
			}
			return standin.Busy
		})
		// A read that began earlier could still return the change. None is left once the store has refused the next one.
		b.await("the store refuses "+v.name, func() bool { return refused.Load() > 0 })
		b.configure(long, late)
		b.awaitStatus(v, late, http.StatusOK)
		b.store.SetFault(func(*http.Request) standin.StoreFault { return standin.NoFault })
	}
	for _, v := range b.vms {
		b.stop(v)
	}
	assert.Empty(t, b.logViolations())
}

// newFleetOf starts a fleet with a VM of each build. The VMs call serve, which forwards to the store.
func newFleetOf(t testing.TB, store *standin.Store, serve http.Handler, builds ...string) *fleet {
	return newAdjustedFleet(t, store, serve, nil, builds...)
}
