package jobrecorder

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestTransitionsKeepResults applies transitions of three VMs to one record. Some start from a stale view, as after a lost
// answer of the store; the store's compare-and-swap rejects these. Results must keep their positions, and an ended job
// must stay ended. The failures of an item never decrease while it has no result, and are dropped with it.
func TestTransitionsKeepResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "items")
		job := Job{ID: "j", Tokens: make([]int64, n), Holder: VMRef{VM: "a", Incarnation: 1}}
		for i := range job.Tokens {
			job.Tokens[i] = 10
		}
		version := 1
		type view struct {
			job     Job
			version int
		}
		views := []view{{job, version}, {job, version}, {job, version}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			v := &views[rapid.IntRange(0, len(views)-1).Draw(t, "vm")]
			before := job
			var next Job
			switch rapid.IntRange(0, 5).Draw(t, "transition") {
			case 0:
				next, _ = v.job.Append(rapid.SliceOfN(rapid.IntRange(-1, n), 0, 3).Draw(t, "finished"))
			case 1:
				next = v.job.End()
			case 2:
				next = v.job.Adopt(VMRef{VM: "b", Incarnation: 2})
			case 3:
				next = v.job.HandOver(VMRef{VM: "c", Incarnation: 1}, []int{0})
			case 4:
				*v = view{job, version}
				continue
			case 5:
				totals := rapid.MapOfN(rapid.IntRange(-1, n), rapid.IntRange(-1, 4), 0, 3).Draw(t, "failures")
				next, _ = v.job.RecordFailures(totals)
				for i := range n {
					if !v.job.IsDone(i) {
						assert.Equal(t, max(v.job.Failures[i], totals[i]), next.Failures[i])
					}
				}
				_, isChanged := next.RecordFailures(totals)
				assert.False(t, isChanged, "failures that are recorded twice count twice")
			}
			if v.version != version {
				continue
			}
			version++
			job = next
			if rapid.Bool().Draw(t, "answer received") {
				*v = view{job, version}
			}
			assert.True(t, slices.Equal(before.Finished, job.Finished[:len(before.Finished)]), "a result changed its position")
			assert.True(t, !before.IsEnded || job.IsEnded, "an ended job is open again")
			for i := range n {
				if job.IsDone(i) {
					assert.NotContains(t, job.Failures, i, "an item has a result and failures")
				} else {
					assert.GreaterOrEqual(t, job.Failures[i], before.Failures[i], "failures of an open item were lost")
				}
			}
			assert.NoError(t, job.Check())
			sorted := slices.Clone(job.Finished)
			slices.Sort(sorted)
			assert.Len(t, slices.Compact(sorted), len(job.Finished), "an item has two positions")
			assert.GreaterOrEqual(t, job.WaitingTokens(), int64(0))
		}
		text, err := json.Marshal(job)
		assert.NoError(t, err)
		back := Job{}
		assert.NoError(t, json.Unmarshal(text, &back))
		assert.Equal(t, job.WaitingTokens(), back.WaitingTokens())
		for i := range n {
			assert.Equal(t, job.Failures[i], back.Failures[i])
		}
		assert.Equal(t, job.IsOver(), back.IsOver())
	})
}

func TestRecordFailures(t *testing.T) {
	job := Job{Tokens: []int64{1, 1, 1}, Finished: []int{2}, Failures: map[int]int{0: 2}}
	next, isChanged := job.RecordFailures(map[int]int{-1: 1, 0: 3, 1: 1, 2: 1, 3: 1})
	assert.True(t, isChanged)
	assert.Equal(t, map[int]int{0: 3, 1: 1}, next.Failures)
	assert.Equal(t, map[int]int{0: 2}, job.Failures, "the job was changed in place")
	for _, totals := range []map[int]int{nil, {0: 2}, {0: 3, 1: 1}, {1: 0}, {2: 5}} {
		same, isChanged := next.RecordFailures(totals)
		assert.False(t, isChanged, "%v", totals)
		assert.Equal(t, next, same)
	}
	done, _ := next.Append([]int{0})
	assert.Equal(t, map[int]int{1: 1}, done.Failures)
	assert.Equal(t, map[int]int{0: 3, 1: 1}, next.Failures, "the job was changed in place")
	assert.Error(t, Job{Tokens: []int64{1}, Failures: map[int]int{1: 1}}.Check())
}

func TestRunnable(t *testing.T) {
	a, b := VMRef{VM: "a", Incarnation: 1}, VMRef{VM: "b", Incarnation: 1}
	job := Job{
		Tokens: []int64{1, 1, 1, 1}, Finished: []int{2}, PreviousHolder: a, Kept: []int{0},
		Earlier: []KeptItems{{By: b, Items: []int{1}}},
	}
	gone := func(vms ...VMRef) func(VMRef) bool { return func(vm VMRef) bool { return slices.Contains(vms, vm) } }
	assert.Equal(t, []int{3}, job.Runnable(gone()), "the former holders still run items 0 and 1")
	assert.Equal(t, []int{0, 3}, job.Runnable(gone(a)))
	assert.Equal(t, []int{1, 3}, job.Runnable(gone(b)))
	assert.Equal(t, []int{0, 1, 3}, job.Runnable(gone(a, b)))
	assert.Empty(t, job.End().Runnable(gone(a, b)))
}

// TestItemsOfFormerHoldersAreReleased has VMs hand a job over and become ordinary again, as after a partition, while they go on
// with what they run, break it off and release it: no two run an item, and what nobody runs or keeps is the holder's.
func TestItemsOfFormerHoldersAreReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []VMRef{{VM: "a"}, {VM: "b"}, {VM: "c"}}
		job := Job{ID: "j", Tokens: make([]int64, rapid.IntRange(1, 6).Draw(t, "items")), Holder: vms[0]}
		running, isAway := map[VMRef][]int{}, map[VMRef]bool{}
		noneIsGone := func(VMRef) bool { return false }
		release := func(vm VMRef) {
			idle := slices.DeleteFunc(job.KeptBy(vm), func(i int) bool { return slices.Contains(running[vm], i) })
			released, isChanged := job.Release(vm, idle)
			assert.Equal(t, len(idle) > 0, isChanged)
			job = released
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			holder, vm := job.Holder, rapid.SampledFrom(vms).Draw(t, "vm")
			switch rapid.SampledFrom([]string{"start", "finish", "break", "handOver", "return", "release"}).Draw(t, "step") {
			case "start":
				for _, i := range job.Runnable(noneIsGone) {
					if !isAway[holder] && !slices.Contains(running[holder], i) && rapid.Bool().Draw(t, "starts") {
						running[holder] = append(running[holder], i)
					}
				}
			case "finish":
				if len(running[vm]) > 0 {
					job, _ = job.Append(running[vm][:1])
					running[vm] = running[vm][1:]
				}
			case "break":
				if len(running[vm]) > 0 {
					running[vm] = running[vm][1:]
				}
			case "handOver":
				isAway[holder] = true
				job = job.HandOver(rapid.SampledFrom(vms).Filter(func(vm VMRef) bool { return vm != holder }).Draw(t, "to"), running[holder])
			case "return":
				isAway[vm] = false
			case "release":
				release(vm)
			}
			assert.NoError(t, job.Check())
			seen := map[int]VMRef{}
			for vm, items := range running {
				assert.True(t, len(items) == 0 || vm == job.Holder || job.IsKeptBy(vm), "%v has to stop its items", vm)
				for _, i := range items {
					assert.NotContains(t, seen, i, "two VMs run an item")
					seen[i] = vm
				}
			}
		}
		for _, vm := range vms {
			release(vm)
		}
		open := job.Runnable(noneIsGone)
		for _, vm := range vms {
			if vm != job.Holder {
				open = append(open, running[vm]...)
			}
		}
		for i := range job.Tokens {
			assert.True(t, job.IsOver() || job.IsDone(i) != slices.Contains(open, i), "item %d is nobody's, or runs with a result", i)
		}
	})
}

// TestItemsAreRunByOneHolderOfAChain hands a job from VM to VM, back to stopping ones too, while each finishes what it runs.
func TestItemsAreRunByOneHolderOfAChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []VMRef{{VM: "a"}, {VM: "b"}, {VM: "c"}, {VM: "d"}}
		job := Job{ID: "j", Tokens: make([]int64, rapid.IntRange(1, 6).Draw(t, "items")), Holder: vms[0]}
		running, isLeaving := map[VMRef][]int{}, map[VMRef]bool{}
		noneIsGone := func(VMRef) bool { return false }
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			holder := job.Holder
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				for _, i := range job.Runnable(noneIsGone) {
					if !isLeaving[holder] && !slices.Contains(running[holder], i) && rapid.Bool().Draw(t, "starts") {
						running[holder] = append(running[holder], i)
					}
				}
			case 1:
				vm := rapid.SampledFrom(vms).Draw(t, "finishes")
				if len(running[vm]) > 0 {
					job, _ = job.Append(running[vm][:1])
					running[vm] = running[vm][1:]
				}
			case 2:
				isLeaving[holder] = true
				job = job.HandOver(rapid.SampledFrom(vms).Filter(func(vm VMRef) bool { return vm != holder }).Draw(t, "to"), running[holder])
			}
			assert.NoError(t, job.Check())
			seen := map[int]VMRef{}
			for vm, items := range running {
				assert.True(t, len(items) == 0 || vm == job.Holder || job.IsKeptBy(vm), "%v has to stop its items", vm)
				for _, i := range items {
					assert.NotContains(t, seen, i, "two VMs run an item")
					seen[i] = vm
				}
			}
		}
	})
}
