package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Item is a batch item that has not ended.
type Item struct {
	ID  string
	Due time.Time
	// Remaining is the time that the rest of its run is expected to take.
	Remaining time.Duration
}

// Planned is an item in the planned order.
type Planned struct {
	Item
	// IsLate reports that the item is not expected to complete by its due time, so that others run first.
	IsLate bool
}

// Order returns the items in the order in which to run them on the given number of slots: first those that can complete in
// time, by due time, and then the others.
//
// It is the algorithm of Moore and Hodgson for the fewest late jobs: whenever the work up to and including an item does not
// fit before the item's due time, the longest item so far is counted as late. The slots are treated as one slot of their
// combined speed.
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
	// Of the late items, those with the least remaining time free their slots first.
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

// longest is a heap with the item of the longest remaining time on top.
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

// Estimator estimates the run time of items from their tokens, and the number of slots that the VM gets on average.
type Estimator struct {
	// perToken is the moving average of the run time for each token.
	perToken time.Duration
	slots    float64
	// slotsAt is the time of the last change of slots.
	slotsAt time.Time
}

const (
	// initialPerToken is used until an item has completed: an engine takes some 2 to 4 ms for a token.
	initialPerToken = 3 * time.Millisecond
	// smoothingFactor is the weight of a new measurement in the moving average of the time for each token.
	smoothingFactor = 0.1
	// slotsWindow is the time over which the number of slots is averaged: about one swing of traffic between low and peak.
	slotsWindow = 5 * time.Second
	// minRemainingShare is the least remaining run time of an item that has not ended, as a share of its estimated run time.
	minRemainingShare = 0.1
)

// NewEstimator returns an estimator without measurements.
func NewEstimator() *Estimator { return &Estimator{perToken: initialPerToken} }

// ObserveCompletion records the total run time of a completed item with this number of tokens.
func (e *Estimator) ObserveCompletion(tokens int64, ran time.Duration) {
	if tokens <= 0 || ran <= 0 {
		return
	}
	measured := ran / time.Duration(tokens)
	e.perToken += time.Duration(smoothingFactor * float64(measured-e.perToken))
}

// Remaining returns the expected remaining run time of an item that has run for the given time.
func (e *Estimator) Remaining(tokens int64, ran time.Duration) time.Duration {
	total := e.perToken * time.Duration(tokens)
	return max(total-ran, time.Duration(minRemainingShare*float64(total)))
}

// ObserveRunning records the number of items that run now.
func (e *Estimator) ObserveRunning(now time.Time, n int) {
	if e.slotsAt.IsZero() {
		e.slotsAt, e.slots = now, float64(n)
		return
	}
	share := min(float64(now.Sub(e.slotsAt))/float64(slotsWindow), 1)
	e.slots += share * (float64(n) - e.slots)
	e.slotsAt = now
}

// Slots returns the average number of slots, but at least the number of running items and at least 1.
func (e *Estimator) Slots(running int) float64 { return max(e.slots, float64(running), 1) }
