package keeper

import (
	"math"
	"slices"
	"time"
)

// batchItem is an item that runs or waits to run at this endpoint.
type batchItem struct {
	id       string
	due      time.Time
	isUrgent bool
	isParked bool
	number   int
}

// batchPool holds the items that wait, ready first by parked state and then by due time, and those that run.
type batchPool struct {
	ready   []*batchItem
	running []*batchItem
	number  int
}

func (b *batchPool) offer(in BatchOffered) {
	b.number++
	b.addReady(&batchItem{id: in.ID, due: in.Due, isUrgent: in.IsUrgent, number: b.number})
}

func (b *batchPool) addReady(item *batchItem) {
	i, _ := slices.BinarySearchFunc(b.ready, item, compareReady)
	b.ready = slices.Insert(b.ready, i, item)
}

// compareReady puts parked items first, for they have tokens to lose, then the earliest due time.
func compareReady(a, b *batchItem) int {
	if a.isParked != b.isParked {
		if a.isParked {
			return -1
		}
		return 1
	}
	if c := a.due.Compare(b.due); c != 0 {
		return c
	}
	return a.number - b.number
}

func (b *batchPool) start() *batchItem {
	item := b.ready[0]
	b.ready = b.ready[1:]
	b.running = append(b.running, item)
	return item
}

// park stops the running item that can best wait: not urgent first, then the latest due.
func (b *batchPool) park() *batchItem {
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
	victim.isParked = true
	b.addReady(victim)
	return victim
}

func (b *batchPool) end(id string) {
	isIt := func(it *batchItem) bool { return it.id == id }
	b.running = slices.DeleteFunc(b.running, isIt)
	b.ready = slices.DeleteFunc(b.ready, isIt)
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

// pressFloor is how many slots urgent batch work keeps even while online requests wait.
func pressFloor(p Policy, slots int, hasUrgent bool) int {
	if !p.MayPressOnOnline || !hasUrgent {
		return 0
	}
	return int(math.Ceil(p.PressShare * float64(slots)))
}
