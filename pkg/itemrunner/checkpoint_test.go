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

// newTestVMs returns VMs that share a store with one job; it is called within a bubble of synctest.
func newTestVMs(ctx context.Context, t *testing.T, n int) ([]*testVM, *standin.Store) {
	store := standin.NewStore()
	h := fnv.New32a()
	_, _ = h.Write([]byte(testJob))
	store.Put("job", strconv.Itoa(int(h.Sum32()%8)), testJob, jobrecorder.Job{ID: testJob, Tokens: []int64{1}, ItemRows: 1})
	store.Put("item", strconv.Itoa(int(h.Sum32()%8)), testJob+"/000", []byte("{}"))
	var vms []*testVM
	begun := 0
	for i := range n {
		name := "v" + strconv.Itoa(i)
		log, _ := logtest.NewNullLogger()
		client := platform.NewStore(netip.MustParseAddrPort("127.0.0.1:1"), name, platform.WithTransport(store.Transport()))
		m := jobmanager.New(
			jobmanager.Config{VM: name, Incarnation: 1, RowBytes: 1 << 16, KeepFor: time.Hour}, client, oneItem{},
			func() *registrar.Registry { return nil }, liveMembers{}, log,
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
	v.runner.runLoad(ctx, j)
	if j.items != nil {
		v.runner.jobs[testJob] = j
		v.take()
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
	saved, err := v.runner.manager.Checkpoints(ctx, testJob)
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
