package bencher

import (
	"container/heap"
	"time"
)

// epoch is when every run starts.
var epoch = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

type event struct {
	at     time.Time
	number int
	call   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].number < h[j].number
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop takes the last event.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// clock runs events in the order of virtual time.
type clock struct {
	now    time.Time
	events eventHeap
	number int
}

func newClock() *clock { return &clock{now: epoch} }

func (c *clock) at(t time.Time, call func()) {
	c.number++
	heap.Push(&c.events, event{at: t, number: c.number, call: call})
}

func (c *clock) after(d time.Duration, call func()) { c.at(c.now.Add(d), call) }

// run plays events until the time end.
func (c *clock) run(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.call()
	}
	c.now = end
}
