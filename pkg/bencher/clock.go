package bencher

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

// event is a call scheduled at a virtual time; events of the same time run in the order in which they were scheduled.
type event struct {
	at       time.Time
	sequence int
	call     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event, as heap.Interface requires.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes and returns the last event, as heap.Interface requires.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// clock runs scheduled events in the order of virtual time.
type clock struct {
	now    time.Time
	events eventHeap
	// scheduled counts the events scheduled so far.
	scheduled int
}

func newClock() *clock { return &clock{now: epoch} }

func (c *clock) at(t time.Time, call func()) {
	c.scheduled++
	heap.Push(&c.events, event{at: t, sequence: c.scheduled, call: call})
}

func (c *clock) after(d time.Duration, call func()) { c.at(c.now.Add(d), call) }

// run runs all events due up to end and then sets the time to end.
func (c *clock) run(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.call()
	}
	c.now = end
}
