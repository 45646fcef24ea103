package itemrunner

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
	"github.com/dogwoodledge/dogwoodledge/platform"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	testJob = "job"
	// feedDelay is longer than a manager takes to learn of a row.
	feedDelay = time.Second
)

// liveMembers is a membership in which every VM is live.
type liveMembers struct{}

func (liveMembers) StateOf(string, int64) gossiper.State { return gossiper.Live }
func (liveMembers) LiveVMs() []gossiper.VMIncarnation    { return nil }
func (liveMembers) VMsInTouch() []gossiper.VMIncarnation { return nil }
func (liveMembers) HasStoreElsewhere() bool              { return true }

// oneItem is a codec of jobs with one item.
type oneItem struct{ platform.JobCodec }

func (oneItem) Items([]byte) ([]jobmanager.Item, error) {
	return []jobmanager.Item{{ID: "item", Path: "/run", Header: http.Header{}, Tokens: 1}}, nil
}

// testVM is a VM with a job of one item; its runs are the calls of run.
type testVM struct {
	t      *testing.T
	runner *Runner
	task   *task
	// begun counts the events of all VMs, so that no two events have the same data.
	begun *int
}

// testPartition returns the partition of the job's rows.
func testPartition() string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(testJob))
	return strconv.Itoa(int(h.Sum32() % 8))
}

// newTestVMs returns VMs that share a store with one job; it is called within a bubble of synctest.
func newTestVMs(ctx context.Context, t *testing.T, n int) ([]*testVM, *standin.Store) {
	return newTestVMsAmong(ctx, t, n, func(string) jobmanager.Members { return liveMembers{} })
}

// newTestVMsAmong is newTestVMs with the membership that each VM observes.
func newTestVMsAmong(
	ctx context.Context, t *testing.T, n int, members func(vm string) jobmanager.Members,
) ([]*testVM, *standin.Store) {
	store := standin.NewStore()
	store.Put("job", testPartition(), testJob, jobrecorder.Job{ID: testJob, Tokens: []int64{1}, ItemRows: 1})
	store.Put("item", testPartition(), testJob+"/000", []byte("{}"))
	var vms []*testVM
	begun := 0
	for i := range n {
		name := "v" + strconv.Itoa(i)
		log, _ := logtest.NewNullLogger()
		client := platform.NewStore(netip.MustParseAddrPort("127.0.0.1:1"), name, platform.WithTransport(store.Transport()))
		m := jobmanager.New(
			jobmanager.Config{VM: name, Incarnation: 1, RowBytes: 1 << 16, KeepFor: time.Hour}, client, oneItem{},
			func() *registrar.Registry { return nil }, members(name), log,
		)
		m.Start(ctx)
		v := &testVM{t: t, runner: New(platform.Headers(), m, nil, nil, nil, nil, nil, nil, nil, nil, log), begun: &begun}
		vms = append(vms, v)
	}
	time.Sleep(feedDelay)
	return vms, store
}

// load loads the job as a VM does that comes to hold it, unless the read fails.
func (v *testVM) load(ctx context.Context) {
	j := &jobState{id: testJob, tasks: map[int]*task{}, isLoading: true}
	v.runner.runLoad(ctx, j, nil)
	if j.items != nil {
		v.runner.jobs[testJob] = j
		v.take()
	}
}

// sync lets the VM load the job if it holds it, and take the items that it is to run.
func (v *testVM) sync(ctx context.Context) {
	for range 3 {
		v.runner.mu.Lock()
		v.runner.syncJobs(ctx, time.Now())
		v.runner.mu.Unlock()
		time.Sleep(feedDelay)
	}
}

// take makes the item the VM's to run, also if it was before and was another VM's meanwhile.
func (v *testVM) take() {
	j := v.runner.jobs[testJob]
	v.task = v.runner.newTask(j, 0)
	j.tasks[0] = v.task
}

// run appends n events of an endpoint with the software version to the output, each of at least width digits.
func (v *testVM) run(n, width int, software string) {
	run := &itemRun{endpoint: registrar.Endpoint{ID: "e", SoftwareVersion: software}}
	v.task.run = run
	for range n {
		*v.begun++
		data := fmt.Appendf(nil, "%d.%0*d", v.task.sequence.Last()+1, width, *v.begun)
		require.NoError(v.t, v.runner.appendEvent(v.task, run, relayer.Event{ID: v.task.sequence.Last() + 1, Data: data}))
	}
	v.task.run = nil
}

func (v *testVM) discard() {
	v.runner.mu.Lock()
	defer v.runner.mu.Unlock()
	v.task.discardOutput()
}

// saved returns the output that a VM would go on with which came to hold the job now.
func (v *testVM) saved(ctx context.Context) string {
	saved, err := v.runner.manager.Checkpoints(ctx, testJob, 0)
	require.NoError(v.t, err)
	return string(saved[0].Output)
}

// duringSave calls f while the VM's checkpoint is being written.
func (v *testVM) duringSave(ctx context.Context, store *standin.Store, f func()) {
	store.SetFault(func(r *http.Request) standin.StoreFault {
		if strings.HasSuffix(r.URL.Path, "/rows-tx") {
			f()
		}
		return standin.NoFault
	})
	v.runner.checkpoint(ctx)
	store.SetFault(func(*http.Request) standin.StoreFault { return standin.NoFault })
}

// isOfOne reports whether what is saved is the beginning of one of the outputs.
func isOfOne(outputs []string, saved string) bool {
	return saved == "" || slices.ContainsFunc(outputs, func(o string) bool { return saved == o || strings.HasPrefix(o, saved+"\n") })
}

// TestOutputDiscardedDuringItsCheckpoint guards against a panic: an output is discarded while its checkpoint is written, and the
// next one is shorter.
func TestOutputDiscardedDuringItsCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		vms, store := newTestVMs(ctx, t, 1)
		v := vms[0]
		v.load(ctx)
		v.run(80, 100, "1")
		v.duringSave(ctx, store, v.discard)
		v.run(120, 1, "2")
		require.NotPanics(t, func() { v.runner.checkpoint(ctx) })
		assert.True(t, string(v.task.output) == v.saved(ctx), "the new output is not saved")
		cancel()
		synctest.Wait()
	})
}

// TestOutputBegunAnewDuringACheckpoint guards against a text of two runs: the item goes to another VM and comes back while its
// checkpoint is written, and its next output is longer.
func TestOutputBegunAnewDuringACheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		vms, store := newTestVMs(ctx, t, 1)
		v := vms[0]
		v.load(ctx)
		v.run(80, 1, "1")
		old := string(v.task.output)
		v.duringSave(ctx, store, v.take)
		v.run(160, 1, "1")
		v.runner.checkpoint(ctx)
		assert.True(t, isOfOne([]string{old, string(v.task.output)}, v.saved(ctx)), "saved: %q", v.saved(ctx))
		cancel()
		synctest.Wait()
	})
}

// TestLargeCheckpointKeepsNoOthersBack has an output grow, while nothing can be saved, over the size of a row.
func TestLargeCheckpointKeepsNoOthersBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		vms, _ := newTestVMs(ctx, t, 1)
		v := vms[0]
		v.load(ctx)
		v.run(40, 1, "1")
		small := v.task
		for i := 1; i < 6; i++ {
			v.task = v.runner.newTask(&jobState{id: testJob, items: make([]jobmanager.Item, 6)}, i)
			v.runner.jobs[testJob].tasks[i] = v.task
			v.run(700, 100, "1")
		}
		v.runner.checkpoint(ctx)
		assert.True(t, string(small.output) == v.saved(ctx), "the small output is not saved")
		cancel()
		synctest.Wait()
	})
}

// TestItemThatComesLateGoesOnAfterItsCheckpoints has a former holder go on with an item, and save its output, after the holder
// has loaded the job.
func TestItemThatComesLateGoesOnAfterItsCheckpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		vms, store := newTestVMs(ctx, t, 2)
		holder, former := vms[0], vms[1]
		row := jobrecorder.Job{
			ID: testJob, Tokens: []int64{1}, ItemRows: 1, Holder: jobrecorder.VMRef{VM: "v0", Incarnation: 1},
			PreviousHolder: jobrecorder.VMRef{VM: "v1", Incarnation: 1}, Kept: []int{0},
		}
		store.Put("job", testPartition(), testJob, row)
		time.Sleep(feedDelay)
		holder.sync(ctx)
		require.Empty(t, holder.runner.jobs[testJob].tasks)
		former.load(ctx)
		former.run(40, 1, "1")
		former.runner.checkpoint(ctx)
		row.Kept = nil
		store.Put("job", testPartition(), testJob, row)
		time.Sleep(feedDelay)
		holder.sync(ctx)
		require.NotEmpty(t, holder.runner.jobs[testJob].tasks)
		assert.EqualValues(t, 39, holder.runner.jobs[testJob].tasks[0].sequence.Last(), "the item begins anew")
		cancel()
		synctest.Wait()
	})
}
