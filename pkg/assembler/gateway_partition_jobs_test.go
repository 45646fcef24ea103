package assembler_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// TestJobsOfAPartitionedVMAreCompleted has a VM accept jobs just before and while it is cut off. It guards against items that lie
// until its links are back.
func TestJobsOfAPartitionedVMAreCompleted(t *testing.T) {
	t.Parallel()
	const cutFor = 12 * time.Second
	forEachMode(t, func(t *testing.T, mode partitionMode) {
		f := newPartitionableFleet(t, 3, 3)
		f.slowDown(150 * time.Millisecond)
		items := map[string][]jobItem{}
		submit := func(vm *testVM) {
			job := newID("job")
			items[job] = newItems(12)
			require.Equal(t, http.StatusAccepted, f.submit(vm, job, items[job]).status)
		}
		submit(f.vms[0])
		time.Sleep(300 * time.Millisecond)
		submit(f.vms[0])
		cutAt := time.Now()
		f.vms[0].cut(mode)
		time.Sleep(time.Second)
		submit(f.vms[0])
		time.Sleep(timeToReact)
		submit(f.vms[0])
		pages := map[string]jobPage{}
		for time.Since(cutAt) < cutFor-500*time.Millisecond {
			for job := range items {
				pages[job], _ = f.read(f.vms[1], job, 0)
			}
		}
		for job, list := range items {
			assert.Len(t, pages[job].Results, len(list), "results of job %s %s after the cut", job, time.Since(cutAt))
		}
		time.Sleep(time.Until(cutAt.Add(cutFor)))
		f.vms[0].heal()
		for job, list := range items {
			final := f.await(f.vms[0], job, len(list))
			assert.Equal(t, len(list), final.Total)
			require.Len(t, final.Results, len(list))
			for i, r := range pages[job].Results {
				assert.Equal(t, r, final.Results[i], "a result that was read doesn't come again")
			}
			listed := map[string]bool{}
			for _, r := range final.Results {
				assert.False(t, listed[r.ID], "item %s is listed twice", r.ID)
				listed[r.ID] = true
				assert.Equal(t, "succeeded", r.State)
				assert.Equal(t, standin.CompleteOutput(r.ID, 6), r.Output)
			}
			for _, i := range list {
				assert.True(t, listed[i.ID], "item %s is lost", i.ID)
			}
		}
	})
}
