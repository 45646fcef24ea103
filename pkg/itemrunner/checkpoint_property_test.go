package itemrunner

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// checkpointStep is one step of a VM that runs an item.
type checkpointStep struct {
	Do string
	VM int
	// Events is the number of events of a run, Software the version of its endpoint.
	Events   int
	Software string
	// Fault is that of the store during a checkpoint; Meanwhile is what the VM does while it is written.
	Fault     standin.StoreFault
	Meanwhile string
}

func drawCheckpointSteps(t *rapid.T) []checkpointStep {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) checkpointStep {
		return checkpointStep{
			Do: rapid.SampledFrom([]string{
				"run", "checkpoint", "runAndCheckpoint", "runAndCheckpoint", "runAndCheckpoint", "discard", "take", "load", "sleep",
			}).Draw(t, "do"),
			VM: rapid.IntRange(0, 1).Draw(t, "vm"), Events: rapid.SampledFrom([]int{30, 30, 30, 60}).Draw(t, "events"),
			Software: rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(t, "software"),
			Fault: rapid.SampledFrom([]standin.StoreFault{
				standin.NoFault, standin.NoFault, standin.Busy, standin.LoseAnswer, standin.ExecuteLate,
			}).Draw(t, "fault"),
			Meanwhile: rapid.SampledFrom([]string{"", "", "run", "discard", "take"}).Draw(t, "meanwhile"),
		}
	}), 20, 40).Draw(t, "steps")
}

// checkpointModel records all outputs of all VMs; each event has data of its own, so a text of two outputs is none of them.
type checkpointModel struct {
	vms     []*testVM
	store   *standin.Store
	outputs []string
	// wrong is what was saved that is not of one output.
	wrong string
}

func (m *checkpointModel) do(ctx context.Context, v *testVM, do string, s checkpointStep) {
	switch do {
	case "run":
		v.run(s.Events, 1, s.Software)
		m.outputs = append(m.outputs, string(v.task.output))
	case "discard":
		v.discard()
	case "take":
		v.take()
	case "load":
		v.load(ctx)
	case "sleep":
		time.Sleep(feedDelay)
	case "runAndCheckpoint":
		m.do(ctx, v, "run", s)
		m.do(ctx, v, "checkpoint", s)
	case "checkpoint":
		m.store.SetFault(func(r *http.Request) standin.StoreFault {
			if !strings.HasSuffix(r.URL.Path, "/rows-tx") {
				return standin.NoFault
			}
			m.do(ctx, v, s.Meanwhile, s)
			return s.Fault
		})
		v.runner.checkpoint(ctx)
		m.store.SetFault(func(*http.Request) standin.StoreFault { return standin.NoFault })
	}
}

// TestSavedOutputIsOfOneRun has two VMs run an item, one after the other or both at once, as after a pause of a whole VM. Outputs
// are discarded, the item comes and goes, and writes are refused, lose their answers or are done late. A VM that comes to hold
// the job must go on with the beginning of one output.
func TestSavedOutputIsOfOneRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps, m := drawCheckpointSteps(rt), &checkpointModel{}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			m.vms, m.store = newTestVMs(ctx, t, 2)
			for _, v := range m.vms {
				v.load(ctx)
			}
			for _, s := range steps {
				m.do(ctx, m.vms[s.VM], s.Do, s)
				for _, v := range m.vms {
					if saved := v.saved(ctx); m.wrong == "" && !isOfOne(m.outputs, saved) {
						m.wrong = saved
					}
				}
			}
			time.Sleep(feedDelay)
			cancel()
			synctest.Wait()
		})
		require.Empty(rt, m.wrong, "what is saved is of several outputs")
	})
}
