package assembler_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testCallersAreServed cuts the first n of four VMs off, and checks from timeToReact on that their callers are served about as
// often as those of the others, which are served about as often as before.
func testCallersAreServed(t *testing.T, n int, mode partitionMode) {
	f := newPartitionableFleet(t, 4, 4)
	for _, e := range f.endpoints {
		e.Step, e.Work = 40*time.Millisecond, 40*time.Millisecond
	}
	cutVMs, others := f.vms[:n], f.vms[n:]
	s := f.startTries(400 * time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	calm := time.Now()
	time.Sleep(2500 * time.Millisecond)
	cutAt := time.Now()
	for _, vm := range cutVMs {
		vm.cut(mode)
	}
	// More requests come, so that the connections that are open don't suffice.
	more := f.startTries(130 * time.Millisecond)
	time.Sleep(timeToReact + 6*time.Second)
	end := time.Now()
	time.Sleep(tryDeadline)
	for _, vm := range cutVMs {
		vm.heal()
	}
	list := append(s.end(), more.end()...)
	before := within(list, calm, cutAt.Add(-500*time.Millisecond), others...)
	atOthers := within(list, cutAt, end, others...)
	stableAt := cutAt.Add(timeToReact)
	lateAtCut, lateAtOthers := within(list, stableAt, end, cutVMs...), within(list, stableAt, end, others...)
	t.Logf("before: %v", outcomes(before))
	t.Logf("at once, cut VMs: %v", outcomes(within(list, cutAt, stableAt, cutVMs...)))
	t.Logf("late, cut VMs: %v", outcomes(lateAtCut))
	t.Logf("from the cut on, others: %v", outcomes(atOthers))
	shareBefore, _ := shareServed(before)
	shareAtOthers, _ := shareServed(atOthers)
	lateShareAtCut, failed := shareServed(lateAtCut)
	lateShareAtOthers, _ := shareServed(lateAtOthers)
	require.NotEmpty(t, lateAtCut)
	require.Positive(t, shareBefore)
	assert.GreaterOrEqual(t, lateShareAtCut, lateShareAtOthers*2/3, "share served at the VMs that are cut off")
	assert.LessOrEqual(t, failed, 10+(len(lateAtCut)+len(lateAtOthers))/50, "first tries that fail at the VMs that are cut off")
	assert.GreaterOrEqual(t, shareAtOthers, shareBefore*2/3, "share served at the others")
}

// TestCallersOfAPartitionedVMAreServed guards against VMs without links to endpoints whose callers are served far worse than
// those of the others, and against others that suffer with them.
func TestCallersOfAPartitionedVMAreServed(t *testing.T) {
	t.Parallel()
	forEachMode(t, func(t *testing.T, mode partitionMode) { testCallersAreServed(t, 2, mode) })
}

// TestMostVMsPartitioned guards against VMs that hand nothing over, or too much, when a single VM is left.
func TestMostVMsPartitioned(t *testing.T) {
	t.Parallel()
	forEachMode(t, func(t *testing.T, mode partitionMode) { testCallersAreServed(t, 3, mode) })
}

// TestPartitionedVMTakesItsLoadBack guards against a VM that goes on handing its requests over once its links are back.
func TestPartitionedVMTakesItsLoadBack(t *testing.T) {
	t.Parallel()
	forEachMode(t, func(t *testing.T, mode partitionMode) {
		f := newPartitionableFleet(t, 3, 3)
		s := f.startTries(200 * time.Millisecond)
		time.Sleep(time.Second)
		f.vms[0].cut(mode)
		cutAt := time.Now()
		time.Sleep(timeToReact + 2*time.Second)
		healedAt := time.Now()
		f.vms[0].heal()
		time.Sleep(timeToReact + 2*time.Second)
		list := s.end()
		handedOver := within(list, cutAt.Add(timeToReact), healedAt, f.vms[0])
		share, _ := shareServed(handedOver)
		assert.GreaterOrEqual(t, share, 2./3, "share served while the VM is cut off: %v", outcomes(handedOver))
		ids := []string{}
		for _, r := range within(list, healedAt.Add(timeToReact), time.Now(), f.vms[0]) {
			assert.True(t, r.isServed(), "%s: %d %v %s", r.path, r.status, r.err, r.body)
			ids = append(ids, r.id)
		}
		require.NotEmpty(t, ids)
		assert.Equal(t, len(ids), servedLocally(f.vms[0], ids...), "requests that the VM sent itself once its links were back")
	})
}

// TestPartitionOfAVMStrikesNoPrompts cuts a VM off while all its requests, which are not answered yet, have a part of their
// prompts in common. It guards against a quarantine of this part, as if endpoints had ended under it.
func TestPartitionOfAVMStrikesNoPrompts(t *testing.T) {
	t.Parallel()
	forEachMode(t, func(t *testing.T, mode partitionMode) {
		f := newPartitionableFleet(t, 3, 4)
		f.slowDown(500 * time.Millisecond)
		const part = "77aa31c0"
		ask := func(wg *sync.WaitGroup, vm *testVM, check func(answer)) {
			for n := range 16 {
				wg.Go(func() { check(f.ask(vm, []string{"/draft/1", "/note/1"}[n%2], part)) })
			}
		}
		var wg sync.WaitGroup
		ask(&wg, f.vms[0], func(answer) {})
		time.Sleep(300 * time.Millisecond)
		f.vms[0].cut(mode)
		time.Sleep(3 * time.Second)
		f.vms[0].heal()
		wg.Wait()
		var mu sync.Mutex
		answers := map[string]int{}
		ask(&wg, f.vms[1], func(a answer) {
			mu.Lock()
			defer mu.Unlock()
			answers[fmt.Sprint(a.status, " ", a.err)]++
			if a.status != http.StatusOK {
				t.Log(a.body)
			}
		})
		wg.Wait()
		assert.Equal(t, map[string]int{"200 <nil>": 16}, answers, "answers of another VM after the cut")
	})
}
