package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Item is an item that is not at its end.
type Item struct {
	ID  string
	Due time.Time
	// Remaining is the time that the rest of its run is expected to take.
	Remaining time.Duration
}

// Planned is an item with its place in the order.
type Planned struct {
	Item
	// IsLate says that the item is not expected to be done when it is due, so that others go first.
	IsLate bool
}

// Order returns the items in the order in which to run them on so many slots: those that can be done in time, the
// earliest due first, and behind them the others.
//
// It is the algorithm of Moore and Hodgson for the fewest late jobs: whenever the work up to an item does not fit before
// that item is due, the longest one so far is put off. The slots are taken as one that is so many times as fast.
func Order(now time.Time, items []Item, slots float64) []Planned {
	sorted := slices.Clone(items)
	slices.SortFunc(sorted, byDue)
	slots = max(slots, 1)
	var inTime longest
	var late []Item
	work := time.Duration(0)
	for _, i := range sorted {
		if now.Add(i.Remaining).After(i.Due) {
			late = append(late, i)
			continue
		}
		heap.Push(&inTime, i)
		work += i.Remaining
		if now.Add(time.Duration(float64(work) / slots)).After(i.Due) {
			out := heap.Pop(&inTime).(Item)
			work -= out.Remaining
			late = append(late, out)
		}
	}
	return merge(inTime, late)
}

func byDue(a, b Item) int {
	return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.ID, b.ID))
}

func byRemaining(a, b Item) int {
	return cmp.Or(cmp.Compare(a.Remaining, b.Remaining), cmp.Compare(a.ID, b.ID))
}

func merge(inTime, late []Item) []Planned {
	slices.SortFunc(inTime, byDue)
	// Of the late ones, those that are nearly done free their places soonest.
	slices.SortFunc(late, byRemaining)
	plan := make([]Planned, 0, len(inTime)+len(late))
	for _, i := range inTime {
		plan = append(plan, Planned{Item: i})
	}
	for _, i := range late {
		plan = append(plan, Planned{Item: i, IsLate: true})
	}
	return plan
}

// longest is a heap with the item of the longest remaining run on top.
type longest []Item

func (l longest) Len() int           { return len(l) }
func (l longest) Less(i, j int) bool { return l[i].Remaining > l[j].Remaining }
func (l longest) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }

// Push adds an item.
func (l *longest) Push(x any) { *l = append(*l, x.(Item)) }

// Pop removes the last item.
func (l *longest) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

// Estimator learns how long items run for each of their tokens, and how many slots the VM gets.
type Estimator struct {
	perToken time.Duration
	slots    float64
	at       time.Time
}

const (
	// firstPerToken holds until an item was measured: a token takes an engine some 2 to 4 ms.
	firstPerToken = 3 * time.Millisecond
	learningShare = 0.1
	// slotsSpan is the time over which the number of slots is averaged: a swing of the traffic between trough and peak.
	slotsSpan = 5 * time.Second
	// leastShare of its run is left of an item that is not at its end.
	leastShare = 0.1
)

// NewEstimator returns an estimator that has seen nothing.
func NewEstimator() *Estimator { return &Estimator{perToken: firstPerToken} }

// Completed takes in how long an item ran in all.
func (e *Estimator) Completed(tokens int64, ran time.Duration) {
	if tokens <= 0 || ran <= 0 {
		return
	}
	seen := ran / time.Duration(tokens)
	e.perToken += time.Duration(learningShare * float64(seen-e.perToken))
}

// Remaining returns how long an item that has run for a while is expected to run on.
func (e *Estimator) Remaining(tokens int64, ran time.Duration) time.Duration {
	whole := e.perToken * time.Duration(tokens)
	return max(whole-ran, time.Duration(leastShare*float64(whole)))
}

// Running takes in how many items run now.
func (e *Estimator) Running(now time.Time, n int) {
	if e.at.IsZero() {
		e.at, e.slots = now, float64(n)
		return
	}
	share := min(float64(now.Sub(e.at))/float64(slotsSpan), 1)
	e.slots += share * (float64(n) - e.slots)
	e.at = now
}

// Slots returns the average number of slots, at least those that run now.
func (e *Estimator) Slots(running int) float64 { return max(e.slots, float64(running), 1) }
