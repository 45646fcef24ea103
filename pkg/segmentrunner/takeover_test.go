package segmentrunner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
	"github.com/dogwoodledge/dogwoodledge/pkg/forwarder"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	testAttempts = 3
	batchFile    = `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}`
)

// oneEndpoint is a fleet with one endpoint of one slot, whose allocator starts each item at once.
type oneEndpoint struct {
	emptyFleet
	address netip.AddrPort
	runner  *Runner
	taken   atomic.Int64
}

func (f *oneEndpoint) AllocatedEndpoints() []declarer.Endpoint {
	return []declarer.Endpoint{{Meta: declarer.Meta{Name: "e"}, Address: f.address, Models: []string{"m"}, Slots: 1}}
}

func (*oneEndpoint) IsLeaseWatcher(string) bool { return true }

func (*oneEndpoint) BatchPolicy() declarer.BatchPolicy {
	return declarer.BatchPolicy{ItemAttempts: testAttempts, ItemDeadline: time.Minute}
}

func (f *oneEndpoint) BatchRoom(string) int { return int(1 - f.taken.Load()) }

func (f *oneEndpoint) Submit(_ string, in allocator.Input) {
	switch in := in.(type) {
	case allocator.BatchOffered:
		f.taken.Add(1)
		go f.runner.StartItem("e", in.ID)
	case allocator.BatchEnded:
		f.taken.Add(-1)
	}
}

// startHolder starts the runner of a VM at the endpoint.
func startHolder(vm string, s storer.Store, address netip.AddrPort) *Runner {
	f := &oneEndpoint{address: address}
	log, _ := logtest.NewNullLogger()
	cfg := Config{VM: vm, LeaseLength: time.Minute, LeaseRenew: 100 * time.Millisecond, PollEvery: 20 * time.Millisecond}
	f.runner = New(cfg, archiver.New(s, 500), f, f, forwarder.NewPools(), rand.New(rand.NewPCG(1, 1)), log)
	f.runner.Start()
	return f.runner
}

// submitJob creates a job of one item.
func submitJob(ctx context.Context, t *testing.T, s storer.Store) archiver.JobRow {
	t.Helper()
	a := archiver.New(s, 500)
	check := func([]byte) (model, field, value, remedy string) { return "m", "", "", "" }
	file, err := a.SaveFile(ctx, "kiln", "f", strings.NewReader(batchFile), check, time.Now())
	require.NoError(t, err)
	job := archiver.JobRow{
		ID: archiver.JobID("kiln", "k"), Account: "kiln", File: file, Due: time.Now().Add(time.Hour), State: archiver.JobRunning,
	}
	job, err = a.CreateJob(ctx, job)
	require.NoError(t, err)
	return job
}

// TestItemThatCrashesEnginesIsAbandonedAcrossHolders lets one holder after the other take over a segment whose item ends each
// engine; each holder stops after the item's first failed attempt there.
func TestItemThatCrashesEnginesIsAbandonedAcrossHolders(t *testing.T) {
	t.Parallel()
	runs := atomic.Int64{}
	engine := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			runs.Add(1)
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(engine.Close)
	address := netip.MustParseAddrPort(engine.Listener.Addr().String())
	store := emulator.NewPlatform()
	job := submitJob(t.Context(), t, store)
	for n := range 2 * testAttempts {
		r := startHolder("vm-"+strconv.Itoa(n), store, address)
		require.Eventually(t, func() bool {
			found, _, err := archiver.New(store, 500).Job(t.Context(), "kiln", job.ID)
			job = found
			return err == nil && (r.Counts.ItemsRetried.Load() > 0 || found.State == archiver.JobCompleted)
		}, 10*time.Second, 10*time.Millisecond)
		r.Stop(t.Context())
	}
	assert.Equal(t, int64(testAttempts), runs.Load(), "engines that got the item")
	assert.Equal(t, archiver.JobCompleted, job.State)
	assert.Equal(t, 1, job.Failed)
}
