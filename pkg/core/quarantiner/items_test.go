package quarantiner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

// lain returns how many items lay for too long, how many more may, as an engine ended under their trials, and a text on the first
// one.
func (f *itemsFleet) lain() (lain, excused int, first string) {
	for _, it := range f.items {
		if it.longest < lieTime {
			continue
		}
		isTried := !it.trialEnd.IsZero() && it.trialEnd.After(f.checkFrom.Add(-excuseTime))
		if isTried && !it.longestEnd.After(it.trialEnd.Add(excuseTime)) {
			excused++
			continue
		}
		if lain++; first == "" {
			first = fmt.Sprintf("%s lay for %s until %s behind %s after %d ends, storm until %s", it.parts[1], it.longest,
				it.longestEnd.Sub(scripter.Epoch), it.held, len(it.ends), f.checkFrom.Sub(scripter.Epoch))
		}
	}
	return lain, excused, first
}

// storms has engines end in storms under items, and returns how many items lay, and how many of them may.
func (tt itemsTest) storms(t *testing.T) (lain, excused int) {
	runs := 0
	var longest time.Duration
	for seed := range uint64(tt.runs) {
		f := newItemsFleet(t, tt, seed)
		f.checkFrom = f.storm()
		f.run(f.checkFrom.Add(time.Minute))
		n, e, first := f.lain()
		for _, it := range f.items {
			longest = max(longest, it.longest)
		}
		if lain, excused = lain+n, excused+e; n > 0 {
			if runs++; runs <= 3 {
				t.Logf("seed %d: %d items lay; %s", seed, n, first)
			}
		}
	}
	t.Logf("%d items of %d lay, in %d of %d runs; %d more may wait; the longest time was %s", lain, tt.runs*tt.holders*itemsPerJob,
		runs, tt.runs, excused, longest)
	return lain, excused
}

// stormTests returns the cases of storms.
func stormTests() []itemsTest {
	list := itemsTests()
	for _, vms := range []int{2, 9, 195} {
		list = append(list, itemsTest{vms: vms, holders: 2, rowDelay: usualRowDelay, preempted: 0.5, runs: 100})
	}
	for _, tt := range list {
		tt.isSteady = true
		list = append(list, tt)
	}
	return list
}

// knownRedStorms are the cases that KNOWN-RED.txt lists.
var knownRedStorms = []string{
	"71 VMs, 5 holders, rows after 300ms, steady storms",
	"195 VMs, 1 holders, rows after 300ms, steady storms",
	"195 VMs, 5 holders, rows after 1s, steady storms",
	"195 VMs, 5 holders, rows after 300ms, steady storms",
	"9 VMs, 2 holders, rows after 300ms, 0.5 of the trials preempted, steady storms",
	"2 VMs, 2 holders, rows after 300ms, 0.5 of the trials preempted, steady storms",
	"9 VMs, 1 holders, rows after 300ms, steady storms",
	"9 VMs, 5 holders, rows after 300ms, steady storms",
}

// testStorm has engines end in storms, and no item be the cause.
func (tt itemsTest) testStorm(t *testing.T) {
	t.Parallel()
	lain, _ := tt.storms(t)
	assert.Zero(t, lain, "items lay for %s while engines were idle", lieTime)
}

func TestSoundItemsAreNotLeftLyingAfterStorms(t *testing.T) {
	for _, tt := range stormTests() {
		if !slices.Contains(knownRedStorms, tt.String()) {
			t.Run(tt.String(), tt.testStorm)
		}
	}
}

// TestModelSeesItemsThatLie judges items as requests, as they were once.
func TestModelSeesItemsThatLie(t *testing.T) {
	for _, vms := range []int{9, 71} {
		tt := itemsTest{vms: vms, holders: 1, rowDelay: usualRowDelay, runs: 50, isOld: true}
		t.Run(tt.String(), func(t *testing.T) {
			t.Parallel()
			lain, _ := tt.storms(t)
			assert.Positive(t, lain)
		})
	}
}

// lateAfter returns how often items were sent later than the time to react after the end of that number, from 1.
func lateAfter(sent, ends []time.Time, n int, timeToReact time.Duration) int {
	late := 0
	for _, at := range sent {
		if len(ends) >= n && at.Sub(ends[n-1]) > timeToReact {
			late++
		}
	}
	return late
}

// TestItemsWithACrashingPartAreTriedSeldom has each item end its engine at its first event. More than three that are sent late
// break the users' rule; several holders, whose rows cross, are reported.
func TestItemsWithACrashingPartAreTriedSeldom(t *testing.T) {
	for _, tt := range itemsTests() {
		t.Run(tt.String(), func(t *testing.T) {
			t.Parallel()
			if tt.holders > 1 {
				// Their figures are reported only.
				tt.runs /= 10
			}
			counts := map[int]int{}
			for seed := range uint64(tt.runs) {
				f := newItemsFleet(t, tt, seed)
				for _, it := range f.items {
					it.isDeadly = true
				}
				f.run(f.now.Add(time.Minute))
				var sent []time.Time
				for _, it := range f.items {
					sent = append(sent, it.sent...)
				}
				counts[lateAfter(sent, f.ends, 5, 4*time.Second)]++
			}
			t.Logf("late sends: runs %v", counts)
			for late, n := range counts {
				if tt.holders == 1 {
					assert.LessOrEqual(t, late, 3, "in %d of %d runs", n, tt.runs)
				}
			}
		})
	}
}

// TestDeadlyItemIsContainedBesideSoundOnes has one item of a job end its engine at its first event.
func TestDeadlyItemIsContainedBesideSoundOnes(t *testing.T) {
	for _, tt := range itemsTests() {
		t.Run(tt.String(), func(t *testing.T) {
			t.Parallel()
			counts, lain := map[int]int{}, 0
			for seed := range uint64(tt.runs) {
				f := newItemsFleet(t, tt, seed)
				deadly := f.items[f.source.IntN(len(f.items))]
				deadly.isDeadly = true
				f.run(f.now.Add(time.Minute))
				counts[lateAfter(deadly.sent, deadly.ends, 3, 5*time.Second)]++
				for _, it := range f.items {
					if it != deadly && it.longest >= lieTime {
						if lain++; lain <= 3 {
							t.Logf("seed %d: %s lay for %s until %s behind %s", seed, it.parts[1], it.longest,
								it.longestEnd.Sub(scripter.Epoch), it.held)
						}
					}
				}
			}
			t.Logf("late sends of the deadly item: runs %v; %d sound ones lay", counts, lain)
			for late, n := range counts {
				assert.LessOrEqual(t, late, 3, "in %d of %d runs", n, tt.runs)
			}
			assert.Zero(t, lain, "sound items lay for %s", lieTime)
		})
	}
}

// TestSeveralDeadlyItemsHoldUpNoSoundOnes has some items of a job end their engines at their first event.
func TestSeveralDeadlyItemsHoldUpNoSoundOnes(t *testing.T) {
	for _, deadly := range []int{1, 2, 3, 5} {
		for _, holders := range []int{1, 5} {
			t.Run(fmt.Sprintf("%d of %d items, %d holders", deadly, itemsPerJob, holders), func(t *testing.T) {
				t.Parallel()
				tt := itemsTest{vms: 9, holders: holders, rowDelay: usualRowDelay, runs: 100}
				lain, sound, late := 0, 0, map[int]int{}
				for seed := range uint64(tt.runs) {
					f := newItemsFleet(t, tt, seed)
					for n := range deadly {
						f.items[n].isDeadly = true
					}
					f.run(f.now.Add(time.Minute))
					for _, it := range f.items {
						if it.isDeadly {
							late[lateAfter(it.sent, it.ends, 3, 5*time.Second)]++
							continue
						}
						// The users count no item as lying that failed within the last 20 s.
						isTried := !it.trialEnd.IsZero() && !it.longestEnd.After(it.trialEnd.Add(excuseTime))
						if sound++; it.longest >= lieTime && !isTried {
							if lain++; lain <= 3 {
								t.Logf("seed %d: %s lay for %s until %s behind %s", seed, it.parts[1], it.longest,
									it.longestEnd.Sub(scripter.Epoch), it.held)
							}
						}
					}
				}
				t.Logf("%d of %d sound items lay; late sends of deadly items: %v", lain, sound, late)
				assert.Zero(t, lain)
			})
		}
	}
}
