//go:build beside

package prove

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/batcher"
	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
	"github.com/dogwoodledge/dogwoodledge/pkg/server"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	besideSegmentItems = 10
	besideTokens       = 100
)

// beside is a fleet with a VM of the old build, vm-1, and one of the new build, vm-2.
type beside struct {
	*fleet
	old, new string
	record   *standin.Recorder
	// items is the number of items of the last batch. Each batch gets one item more, as two batches of the same items would be one
	// batch.
	items int
}

// newBeside starts the fleet; the VMs call the platform through the recorder.
func newBeside(t *testing.T) *beside {
	old := os.Getenv("BESIDE_OLD")
	require.NotEmpty(t, old, "BESIDE_OLD is empty: use make beside BASE=<commit>")
	f := newStandins(t, fleetSize{engines: 6})
	r := standin.NewRecorder(httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: f.platform.String()}))
	server := httptest.NewServer(r)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	b := &beside{fleet: f, old: old, new: binaries, record: r, items: 120}
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	for n, build := range []string{b.old, b.new} {
		id := fmt.Sprintf("vm-%d", n+1)
		r.SetBuild(id, build)
		f.startBuild(build, id, "syd", addr, besideSegmentItems)
	}
	f.begin()
	return b
}

// TestBeside runs VMs of two builds in one fleet: the old build, from the folder BESIDE_OLD, and the build of this source.
func TestBeside(t *testing.T) {
	b := newBeside(t)
	first, second := b.vms[0], b.vms[1]
	b.checkSlots()
	b.checkBookings()
	b.checkPresets()
	b.checkLeaving()
	atOld, atNew := b.submit(first, b.writeBatch(40, besideTokens)), b.submit(second, b.writeBatch(50, besideTokens))
	b.requireBatchComplete(second, atOld, 40, besideTokens, 0)
	b.requireBatchComplete(first, atNew, 50, besideTokens, 0)
	b.checkSame("/v1/batches/"+atOld, "/v1/batches/"+atNew, "/v1/batches", "/v1/files",
		"/v1/files/file-out-"+strings.TrimPrefix(atOld, "batch_")+"/content",
		"/v1/files/file-out-"+strings.TrimPrefix(atNew, "batch_")+"/content")

	b.stopInTurn(first, second, b.old)
	b.stopInTurn(second, first, b.new)
	b.checkForms()
	// Starts each build on the rows that the other one wrote.
	b.stopInTurn(first, second, b.new)
	b.stopInTurn(second, first, b.old)
	b.checkBookings()
	b.checkExamples()
	for _, v := range b.vms {
		b.checkMetrics(v)
		b.checkLog(v)
	}
}

// checkSlots sends many requests through both VMs, each of which allocates the slots of some engines for both.
func (b *beside) checkSlots() {
	b.t.Helper()
	allocated := map[string]int{}
	for i := range b.engines {
		allocated[b.allocatorOf(fmt.Sprintf("engine-%d", i+1)).id]++
	}
	require.Len(b.t, allocated, 2, "each VM allocates the slots of an engine")
	wg := sync.WaitGroup{}
	for i := range 120 {
		wg.Go(func() {
			prompt := fmt.Sprintf("Card %d", i)
			requireComplete(b.t, b.chat(b.vms[i%2], prompt, 20), prompt, 20)
		})
	}
	wg.Wait()
	for i := range b.engines {
		assert.Positive(b.t, b.executions(i), "requests at engine-%d", i+1)
	}
}

// checkBookings sends a booking through each VM and then again through the other one, and one through both VMs at once.
func (b *beside) checkBookings() {
	b.t.Helper()
	before := len(b.ledger())
	for n, v := range b.vms {
		key := fmt.Sprintf("key-%d-%d", before, n)
		one := b.book(v, key, "kiln "+key)
		require.Equal(b.t, http.StatusCreated, one.status, one.body)
		again := b.book(b.vms[1-n], key, "kiln "+key)
		require.Equal(b.t, http.StatusCreated, again.status, again.body)
		assert.Equal(b.t, one.body, again.body)
		other := b.book(b.vms[1-n], key, "another")
		assert.Equal(b.t, http.StatusUnprocessableEntity, other.status, "the key belongs to another booking")
		assert.Equal(b.t, "notRun", other.outcome)
	}
	key := fmt.Sprintf("key-%d-both", before)
	answers := make(chan answer, 2)
	for _, v := range b.vms {
		go func() { answers <- b.book(v, key, "kiln "+key) }()
	}
	one, other := <-answers, <-answers
	assert.Equal(b.t, http.StatusCreated, one.status, one.body)
	assert.Equal(b.t, one.body, other.body)
	ledger := b.ledger()
	assert.Len(b.t, ledger, before+3)
	for name, times := range ledger {
		assert.Equal(b.t, 1, times, "runs of %s", name)
	}
}

// snapshot returns the configuration snapshot of the VM.
func (b *beside) snapshot(v *vm) string {
	r, err := http.NewRequest(http.MethodGet, "http://"+v.operators.String()+"/operators/v1/snapshot", nil)
	require.NoError(b.t, err)
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	res, err := http.DefaultClient.Do(r)
	require.NoError(b.t, err)
	defer func() { _ = res.Body.Close() }()
	require.Equal(b.t, http.StatusOK, res.StatusCode)
	raw, err := io.ReadAll(res.Body)
	require.NoError(b.t, err)
	return string(raw)
}

// awaitSnapshots waits until both VMs have the revision and compares their snapshots.
func (b *beside) awaitSnapshots(revision int64) {
	b.t.Helper()
	for _, v := range b.vms {
		b.await(fmt.Sprintf("revision %d on %s", revision, v.id), func() bool { return b.revision(v) == revision })
	}
	assert.Equal(b.t, b.snapshot(b.vms[0]), b.snapshot(b.vms[1]), "configuration of both VMs")
}

// checkPresets changes the preset through each VM with the command-line client of each build.
func (b *beside) checkPresets() {
	b.t.Helper()
	revision := b.revision(b.vms[0])
	for _, build := range []string{b.old, b.new} {
		for n, v := range b.vms {
			out, err := b.cliOf(build, v, operatorKey, "preset", "use", []string{"peak", "ordinary"}[n])
			require.NoError(b.t, err, out)
			revision++
			assert.Contains(b.t, out, fmt.Sprintf("revision %d", revision))
			b.awaitSnapshots(revision)
		}
		one, other := b.status(build, b.vms[0]), b.status(build, b.vms[1])
		assert.Equal(b.t, one.Head, other.Head)
		assert.ElementsMatch(b.t, one.VMs, other.VMs, "VMs as each VM lists them")
		for _, v := range one.VMs {
			assert.True(b.t, v.HasAnswered, v.VM)
			assert.Equal(b.t, revision, v.Revision, v.VM)
		}
	}
}

// status returns the VM's list of VMs, read with the command-line client of the build.
func (b *beside) status(build string, v *vm) server.StatusReply {
	b.t.Helper()
	out, err := b.cliOf(build, v, operatorKey, "status", "-o", "json")
	require.NoError(b.t, err, out)
	reply := server.StatusReply{}
	require.NoError(b.t, json.Unmarshal([]byte(out), &reply), out)
	require.Len(b.t, reply.VMs, 2)
	return reply
}

// checkLeaving orders all engines but the first to leave, through each VM in turn, and then to return; the other VM must follow
// both orders.
func (b *beside) checkLeaving() {
	b.t.Helper()
	const requests = 60
	for n, v := range b.vms {
		other := b.vms[1-n]
		b.order(v, "leave")
		b.await("requests through "+other.id+" go to engine-1", func() bool {
			first, _ := b.send(other, requests)
			return first == requests
		})
		b.order(v, "return")
		b.await("requests through "+other.id+" go to others again", func() bool {
			_, elsewhere := b.send(other, requests)
			return elsewhere > 0
		})
	}
}

// order sends an order for all engines but the first through the VM.
func (b *beside) order(v *vm, order string) {
	b.t.Helper()
	for i := range b.engines[1:] {
		out, err := b.cli(v, operatorKey, "endpoint", order, fmt.Sprintf("engine-%d", i+2))
		require.NoError(b.t, err, out)
	}
}

// send sends requests through the VM and returns how many ran at engine-1 and elsewhere. While engines leave, a request may be
// refused; then it must not have run.
func (b *beside) send(v *vm, requests int) (first, elsewhere int) {
	firstBefore, before := b.executions(0), b.allExecutions()
	answered := atomic.Int64{}
	wg := sync.WaitGroup{}
	for i := range requests {
		wg.Go(func() {
			prompt := fmt.Sprintf("Card %d %d", before, i)
			a := b.chat(v, prompt, 10)
			if a.status == http.StatusServiceUnavailable && a.outcome == "notRun" {
				return
			}
			requireComplete(b.t, a, prompt, 10)
			answered.Add(1)
		})
	}
	wg.Wait()
	all := b.allExecutions() - before
	assert.EqualValues(b.t, answered.Load(), all, "runs of %d requests through %s", requests, v.id)
	first = b.executions(0) - firstBefore
	return first, all - first
}

func (b *beside) allExecutions() int {
	n := 0
	for i := range b.engines {
		n += b.executions(i)
	}
	return n
}

// checkSame reads each path through both VMs, whose answers must be equal.
func (b *beside) checkSame(paths ...string) {
	b.t.Helper()
	for _, path := range paths {
		var answers []answer
		for _, v := range b.vms {
			a := b.do(v, call{method: http.MethodGet, path: path, key: kilnKey})
			require.NoError(b.t, a.err)
			require.Equal(b.t, http.StatusOK, a.status, "%s from %s: %s", path, v.id, a.body)
			answers = append(answers, a)
		}
		assert.Equal(b.t, answers[0].body, answers[1].body, path)
	}
}

// stopInTurn stops the VM by SIGTERM amid streams and a batch that it holds, while the other one serves, and then starts the
// given build on it.
func (b *beside) stopInTurn(v, other *vm, build string) {
	b.t.Helper()
	b.items++
	items := b.items
	id := b.submit(v, b.writeBatch(items, besideTokens))
	b.await(v.id+" holds a segment", func() bool { return b.holds(v) })
	before, _ := b.metric(v, "dogwoodledge_online_requests")
	wg := sync.WaitGroup{}
	const streams = 20
	for i := range streams {
		wg.Go(func() {
			prompt := fmt.Sprintf("Long card %d", i)
			requireComplete(b.t, b.chat(b.vms[i%2], prompt, 200), prompt, 200)
		})
	}
	b.await(v.id+" has received its streams", func() bool {
		n, _ := b.metric(v, "dogwoodledge_online_requests")
		return n >= before+streams/2
	})
	b.checkMetrics(v)
	b.checkLog(v)
	v.signal(syscall.SIGTERM)
	b.await(v.id+" is not ready", func() bool {
		a := b.do(v, call{method: http.MethodGet, path: "/readyz"})
		return a.err != nil || a.status == http.StatusServiceUnavailable
	})
	requireComplete(b.t, b.chat(other, "A card meanwhile", 5), "A card meanwhile", 5)
	wg.Wait()
	<-v.done
	assert.True(b.t, v.cmd.ProcessState.Success(), "end of %s: %v", v.id, v.cmd.ProcessState)
	b.await("no segment is held by "+v.id, func() bool { return !b.holds(v) })
	b.requireBatchComplete(other, id, items, besideTokens, 0)

	v.build = build
	b.record.SetBuild(v.id, build)
	b.runVM(v, besideSegmentItems)
	b.awaitReady(v)
	b.awaitMembers()
	b.requireBatchComplete(v, id, items, besideTokens, 0)
	assert.Equal(b.t, b.snapshot(other), b.snapshot(v), "configuration of both VMs")
	requireComplete(b.t, b.chat(v, "A card afterwards", 5), "A card afterwards", 5)
}

// holds reports whether the VM holds a running segment.
func (b *beside) holds(v *vm) bool {
	for _, row := range b.segmentRows() {
		if row.State == batcher.SegmentRunning && strings.HasPrefix(row.Holder, v.id+"/") {
			return true
		}
	}
	return false
}

// checkMetrics checks that the VM could decode each datagram and knew the sender of each message.
func (b *beside) checkMetrics(v *vm) {
	b.t.Helper()
	for _, name := range []string{"dogwoodledge_vm_datagrams_malformed", "dogwoodledge_vm_dropped"} {
		n, ok := b.metric(v, name)
		assert.True(b.t, ok, "%s of %s", name, v.id)
		assert.Zero(b.t, n, "%s of %s", name, v.id)
	}
	n, _ := b.metric(v, "dogwoodledge_keeper_granted")
	assert.Positive(b.t, n, "slots granted by %s", v.id)
}

// checkLog checks that the VM's process has logged no warning and no error so far. It must run before the process is stopped,
// as the stop may break off a lease renewal, which the VM warns of.
func (b *beside) checkLog(v *vm) {
	b.t.Helper()
	raw, err := os.ReadFile(v.log)
	require.NoError(b.t, err)
	for line := range strings.Lines(string(raw)) {
		entry := struct{ Level string }{}
		if json.Unmarshal([]byte(line), &entry) != nil || entry.Level != "info" {
			assert.Fail(b.t, "unexpected line in the log of "+v.id, line)
		}
	}
}

// checkForms checks that both builds wrote rows and objects with the same keys, fields and types.
func (b *beside) checkForms() {
	b.t.Helper()
	form := b.record.Form(b.old)
	assert.Equal(b.t, form, b.record.Form(b.new), "form of what the old build and the new build wrote")
	b.t.Logf("each build wrote %d forms of keys and fields", len(form))
}

// checkExamples applies the demo's declarations through the old build, with the addresses of this test's stand-ins and the
// hashes of its keys, and compares them through both builds.
func (b *beside) checkExamples() {
	b.t.Helper()
	const counterHash = "sha256:dfe0429bf66f9e94fee2f89c7d02562c671f6001a2bc3bfd484a10bc62e5e203"
	const kilnHash = "sha256:58740a6fa696f617e6debf4850787c5a218d0f91a02102167637cf64721b618a"
	dir := filepath.Join(b.dir, "examples")
	require.NoError(b.t, os.MkdirAll(dir, 0o700))
	files, err := filepath.Glob("../examples/demo/declarations/*.yaml")
	require.NoError(b.t, err)
	require.NotEmpty(b.t, files)
	text := strings.NewReplacer(
		"127.0.0.1:18101", b.engines[0].String(), "127.0.0.1:18102", b.engines[1].String(), "127.0.0.1:18103", b.booking.String(),
		counterHash, follower.HashKey(counterKey), kilnHash, follower.HashKey(kilnKey),
	)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		require.NoError(b.t, err)
		require.NoError(b.t, os.WriteFile(filepath.Join(dir, filepath.Base(file)), []byte(text.Replace(string(raw))), 0o600))
	}
	revision := b.revision(b.vms[0])
	through := b.vms[0]
	if b.vms[1].build == b.old {
		through = b.vms[1]
	}
	out, err := b.cliOf(b.old, through, operatorKey, "apply", "-f", dir, "--expect", fmt.Sprint(revision), "--preset", "peak")
	require.NoError(b.t, err, out)
	b.awaitSnapshots(revision + 1)
	for _, v := range b.vms {
		for _, build := range []string{b.old, b.new} {
			out, err := b.cliOf(build, v, operatorKey, "diff", "-f", dir)
			require.NoError(b.t, err, out)
			assert.Contains(b.t, out, "; 0 declarations differ")
		}
		prompt := "A card of the demo at " + v.id
		requireComplete(b.t, b.chat(v, prompt, 10), prompt, 10)
	}
	b.checkBookings()
}
