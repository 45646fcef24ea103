package granter

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// eventQueueSize is the number of events that may wait for the loop; further events are dropped.
const eventQueueSize = 8192

// Request is a request for a slot at an endpoint: Tokens is its estimated cost, Deadline the latest time at which the slot is
// useful, and HoldUntil the latest time at which the slot is released.
type Request struct {
	ID        string
	VM        string
	Endpoint  string
	Account   string
	Tokens    int
	Deadline  time.Time
	HoldUntil time.Time
}

// RefusedError says that a slot was refused; nothing of the request has run.
type RefusedError struct {
	Endpoint   string
	Reason     allocator.Reason
	RetryAfter time.Duration
}

// Error returns the endpoint, the reason and the time after which to retry.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no slot at endpoint %s: %s; come back in %s", e.Endpoint, e.Reason, e.RetryAfter)
}

// BatchRunner runs the batch items that an allocator starts; its methods must not block.
type BatchRunner interface {
	// StartItem starts the item, or resumes it after SuspendItem.
	StartItem(endpoint, id string)
	// SuspendItem suspends the item at once, keeping its tokens.
	SuspendItem(endpoint, id string)
}

type answer struct {
	refused option.Option[allocator.Refused]
	load    allocator.Load
}

// event is an input for the allocator of one endpoint, or a call that runs on the loop. The decision on a SlotRequested input is
// sent to reply.
type event struct {
	endpoint string
	input    allocator.Input
	reply    chan answer
	call     func(map[string]*allocator.Allocator)
}

// Granter owns the allocators of this VM; a single goroutine runs all of them.
type Granter struct {
	events     chan event
	allocators map[string]*allocator.Allocator
	waiting    map[string]chan answer
	runner     BatchRunner
	policyOf   func(endpoint string) (allocator.Policy, bool)
	stop       context.CancelFunc
	done       chan struct{}

	// EventsDropped counts inputs and calls dropped because the event queue was full.
	EventsDropped atomic.Int64
	// Preempted counts how often a batch item was preempted.
	Preempted atomic.Int64
	// Granted and Refused count decisions on online requests.
	Granted, Refused atomic.Int64
}

// New returns a granter; policyOf returns the current policy of an endpoint, and false if the endpoint is not declared.
func New(policyOf func(endpoint string) (allocator.Policy, bool)) *Granter {
	return &Granter{
		events:     make(chan event, eventQueueSize),
		allocators: map[string]*allocator.Allocator{},
		waiting:    map[string]chan answer{},
		policyOf:   policyOf,
		done:       make(chan struct{}),
	}
}

// Start starts the loop that runs the allocators; r runs the batch items.
func (g *Granter) Start(r BatchRunner) {
	ctx, cancel := context.WithCancel(context.Background())
	g.runner, g.stop = r, cancel
	go g.loop(ctx)
}

// Stop ends the loop; requests that still wait are refused.
func (g *Granter) Stop() {
	g.stop()
	<-g.done
}

// Reserve waits for a slot at an endpoint whose slots this VM allocates; the first request for an endpoint creates its
// allocator.
//
// Errors: *RefusedError, or the context's error.
func (g *Granter) Reserve(ctx context.Context, r Request) (allocator.Load, error) {
	reply := make(chan answer, 1)
	in := allocator.SlotRequested{
		ID: r.ID, VM: r.VM, Account: r.Account, Tokens: r.Tokens, Deadline: r.Deadline, HoldUntil: r.HoldUntil,
	}
	if !g.send(event{endpoint: r.Endpoint, input: in, reply: reply}) {
		return allocator.Load{}, &RefusedError{Endpoint: r.Endpoint, Reason: allocator.ReasonQueueFull, RetryAfter: time.Second}
	}
	select {
	case a := <-reply:
		if refused, ok := a.refused.Get(); ok {
			return a.load, &RefusedError{Endpoint: r.Endpoint, Reason: refused.Reason, RetryAfter: refused.RetryAfter}
		}
		return a.load, nil
	case <-ctx.Done():
		// The request may still be queued or just have been granted: Withdrawn removes a queued one, SlotReleased frees a granted slot.
		g.Submit(r.Endpoint, allocator.Withdrawn{ID: r.ID})
		g.Submit(r.Endpoint, allocator.SlotReleased{ID: r.ID})
		return allocator.Load{}, ctx.Err()
	case <-g.done:
		return allocator.Load{}, &RefusedError{Endpoint: r.Endpoint, Reason: allocator.ReasonLeaving, RetryAfter: time.Second}
	}
}

// Submit sends an input to the allocator of the endpoint; it does not wait, and drops the input if the event queue is full.
func (g *Granter) Submit(endpoint string, in allocator.Input) {
	g.send(event{endpoint: endpoint, input: in})
}

// Loads returns the load of each endpoint that has an allocator on this VM.
func (g *Granter) Loads() map[string]allocator.Load {
	loads := map[string]allocator.Load{}
	g.runOnLoop(func(allocators map[string]*allocator.Allocator) {
		for name, a := range allocators {
			loads[name] = a.Load()
		}
	})
	return loads
}

// BatchRoom returns the number of further batch items that the allocator of the endpoint has room for in its queue.
func (g *Granter) BatchRoom(endpoint string) int {
	room := 0
	g.runOnLoop(func(map[string]*allocator.Allocator) {
		if a := g.allocator(endpoint); a != nil {
			room = a.BatchRoom()
		}
	})
	return room
}

// Reconfigure applies the current policies to all allocators and removes those whose endpoint is no longer declared.
func (g *Granter) Reconfigure() {
	g.send(event{call: func(allocators map[string]*allocator.Allocator) {
		for name := range allocators {
			if p, ok := g.policyOf(name); ok {
				g.handle(name, allocator.Configured{Policy: p})
			} else {
				g.handle(name, allocator.Configured{Policy: allocator.Policy{IsLeaving: true}})
				delete(allocators, name)
			}
		}
	}})
}

// ReleaseVM frees all slots that a lost VM holds at the allocators of this VM.
func (g *Granter) ReleaseVM(vm string) {
	g.send(event{call: func(allocators map[string]*allocator.Allocator) {
		for name := range allocators {
			g.handle(name, allocator.VMLost{VM: vm})
		}
	}})
}

// runOnLoop runs call on the loop and waits for its end, but skips it if the event queue is full or the loop ends.
func (g *Granter) runOnLoop(call func(map[string]*allocator.Allocator)) {
	done := make(chan struct{})
	ok := g.send(event{call: func(allocators map[string]*allocator.Allocator) {
		call(allocators)
		close(done)
	}})
	if !ok {
		return
	}
	select {
	case <-done:
	case <-g.done:
	}
}

// send queues an event for the loop, and reports false if the queue is full.
func (g *Granter) send(e event) bool {
	select {
	case g.events <- e:
		return true
	default:
		g.EventsDropped.Add(1)
		return false
	}
}

func (g *Granter) loop(ctx context.Context) {
	defer close(g.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-g.events:
			g.handleEvent(e)
		case <-timer.C:
			g.wakeAllocators(time.Now())
		}
		g.setTimer(timer)
	}
}

func (g *Granter) handleEvent(e event) {
	if e.call != nil {
		e.call(g.allocators)
		return
	}
	if e.reply != nil {
		g.waiting[e.input.(allocator.SlotRequested).ID] = e.reply
	}
	g.handle(e.endpoint, e.input)
}

// wakeAllocators wakes the allocators whose wake time has been reached.
func (g *Granter) wakeAllocators(now time.Time) {
	for name, a := range g.allocators {
		if wake, ok := a.NextWake().Get(); ok && !wake.After(now) {
			g.handle(name, allocator.Woken{})
		}
	}
}

func (g *Granter) setTimer(timer *time.Timer) {
	next := time.Hour
	for _, a := range g.allocators {
		if wake, ok := a.NextWake().Get(); ok {
			next = min(next, time.Until(wake))
		}
	}
	timer.Reset(max(0, next))
}

// allocator returns the allocator of the endpoint and creates it on first use; it returns nil if the endpoint is not declared.
func (g *Granter) allocator(endpoint string) *allocator.Allocator {
	if a, ok := g.allocators[endpoint]; ok {
		return a
	}
	p, ok := g.policyOf(endpoint)
	if !ok {
		return nil
	}
	a := allocator.New()
	a.Handle(time.Now(), allocator.Configured{Policy: p})
	g.allocators[endpoint] = a
	return a
}

func (g *Granter) handle(endpoint string, in allocator.Input) {
	a := g.allocator(endpoint)
	if a == nil {
		if requested, ok := in.(allocator.SlotRequested); ok {
			g.answer(requested.ID, answer{
				refused: option.Some(allocator.Refused{Reason: allocator.ReasonLeaving, RetryAfter: time.Second}),
			})
		}
		return
	}
	if w, ok := in.(allocator.Withdrawn); ok {
		delete(g.waiting, w.ID)
	}
	for _, out := range a.Handle(time.Now(), in) {
		switch out := out.(type) {
		case allocator.Granted:
			g.Granted.Add(1)
			g.answer(out.ID, answer{load: a.Load()})
		case allocator.Refused:
			g.Refused.Add(1)
			g.answer(out.ID, answer{refused: option.Some(out), load: a.Load()})
		case allocator.BatchStarted:
			g.runner.StartItem(endpoint, out.ID)
		case allocator.BatchSuspended:
			g.Preempted.Add(1)
			g.runner.SuspendItem(endpoint, out.ID)
		}
	}
}

func (g *Granter) answer(id string, a answer) {
	if reply, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		reply <- a
	}
}
