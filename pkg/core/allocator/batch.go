package allocator

import (
	"math"
	"slices"
	"time"
)

// batchItem is a batch item that runs or is ready to run at this endpoint.
type batchItem struct {
	id       string
	due      time.Time
	isUrgent bool
	// isSuspended reports that the item was preempted and keeps its tokens.
	isSuspended bool
	// number is the order in which items were offered.
	number int
}

// batchPool holds the items that are ready, in the order of compareReady, and those that run.
type batchPool struct {
	ready   []*batchItem
	running []*batchItem
	offered int
}

func (b *batchPool) offer(in BatchOffered) {
	b.offered++
	b.addReady(&batchItem{id: in.ID, due: in.Due, isUrgent: in.IsUrgent, number: b.offered})
}

func (b *batchPool) addReady(item *batchItem) {
	i, _ := slices.BinarySearchFunc(b.ready, item, compareReady)
	b.ready = slices.Insert(b.ready, i, item)
}

// compareReady orders suspended items first, because they hold generated tokens that may be lost, then by due time.
func compareReady(a, b *batchItem) int {
	if a.isSuspended != b.isSuspended {
		if a.isSuspended {
			return -1
		}
		return 1
	}
	if c := a.due.Compare(b.due); c != 0 {
		return c
	}
	return a.number - b.number
}

// start moves the first ready item to the running ones and returns it.
func (b *batchPool) start() *batchItem {
	item := b.ready[0]
	b.ready = b.ready[1:]
	b.running = append(b.running, item)
	return item
}

// suspend moves one running item back to the ready ones and returns it: an item that is not urgent if there is one, and
// among those the item with the latest due time.
func (b *batchPool) suspend() *batchItem {
	victim := slices.MaxFunc(b.running, func(x, y *batchItem) int {
		if x.isUrgent != y.isUrgent {
			if x.isUrgent {
				return -1
			}
			return 1
		}
		if c := x.due.Compare(y.due); c != 0 {
			return c
		}
		return x.number - y.number
	})
	b.running = slices.DeleteFunc(b.running, func(it *batchItem) bool { return it == victim })
	victim.isSuspended = true
	b.addReady(victim)
	return victim
}

func (b *batchPool) end(id string) {
	matches := func(it *batchItem) bool { return it.id == id }
	b.running = slices.DeleteFunc(b.running, matches)
	b.ready = slices.DeleteFunc(b.ready, matches)
}

func (b *batchPool) urgentRunning() int {
	n := 0
	for _, it := range b.running {
		if it.isUrgent {
			n++
		}
	}
	return n
}

func (b *batchPool) hasUrgent() bool {
	return b.urgentRunning() > 0 || slices.ContainsFunc(b.ready, func(it *batchItem) bool { return it.isUrgent })
}

// urgentSlots returns the number of slots that urgent batch items keep even while online requests wait.
func urgentSlots(p Policy, slots int, hasUrgent bool) int {
	if !p.MayPressOnOnline || !hasUrgent {
		return 0
	}
	return int(math.Ceil(p.PressShare * float64(slots)))
}
