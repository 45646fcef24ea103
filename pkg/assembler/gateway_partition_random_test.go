package assembler_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// TestPartitionsOverlap cuts VMs off at times, for times and in modes drawn from the seed, also from single endpoints, so that
// cuts overlap and follow each other closely. Requests run as often as they may, jobs are completed, and in the end everything is
// served.
func TestPartitionsOverlap(t *testing.T) {
	t.Parallel()
	const cuts, window = 8, 6 * time.Second
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newPartitionableFleet(t, 4, 4)
			for _, e := range f.endpoints {
				e.Step, e.Work = 80*time.Millisecond, 300*time.Millisecond
			}
			random := rand.New(rand.NewPCG(seed, 0))
			s := f.startTries(250 * time.Millisecond)
			jobs := map[string][]jobItem{}
			var wg sync.WaitGroup
			for range cuts {
				vm, mode := f.vms[random.IntN(len(f.vms))], partitionModes[random.IntN(len(partitionModes))]
				at := time.Duration(random.Int64N(int64(window)))
				lasts := 100*time.Millisecond + time.Duration(random.Int64N(int64(2500*time.Millisecond)))
				addresses := []string{}
				if random.IntN(4) == 0 {
					e := f.endpoints[random.IntN(len(f.endpoints))]
					addresses = append(addresses, e.Entry("ready")["address"].(string))
				}
				t.Logf("%s for %s: %s, %s %v", at.Round(time.Millisecond), lasts.Round(time.Millisecond), vm.name, mode, addresses)
				wg.Go(func() {
					time.Sleep(at)
					vm.partition.cut(mode, addresses...)
					time.Sleep(lasts)
					vm.partition.cut(isLinked, addresses...)
				})
			}
			for _, vm := range f.vms {
				job := newID("job")
				jobs[job] = newItems(6)
				require.Equal(t, http.StatusAccepted, f.submit(vm, job, jobs[job]).status)
				time.Sleep(window / 4)
			}
			wg.Wait()
			for _, vm := range f.vms {
				vm.heal()
			}
			healedAt := time.Now()
			time.Sleep(timeToReact + 2*time.Second)
			list := s.end()
			time.Sleep(time.Second)
			t.Log(outcomes(list))
			f.requireRunOnce(t, list)
			after := within(list, healedAt.Add(timeToReact), time.Now(), f.vms...)
			require.NotEmpty(t, after)
			_, failed := shareServed(after)
			assert.Zero(t, failed, "requests that fail later than %s after the last cut: %v", timeToReact, outcomes(after))
			for job, items := range jobs {
				page := f.await(f.vms[0], job, len(items))
				listed := map[string]string{}
				for _, r := range page.Results {
					listed[r.ID] = r.State + " " + r.Output
				}
				assert.Len(t, page.Results, len(items), "an item is listed twice")
				for _, i := range items {
					assert.Equal(t, "succeeded "+standin.CompleteOutput(i.ID, 6), listed[i.ID], "item %s", i.ID)
				}
			}
		})
	}
}
