package granter

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const ringSlots = 8192

// Request asks for a slot at an endpoint.
type Request struct {
	ID        string
	VM        string
	Endpoint  string
	Account   string
	Tokens    int
	Deadline  time.Time
	HoldUntil time.Time
}

// RefusedError says that a keeper refused a slot; nothing of the request has run.
type RefusedError struct {
	Endpoint   string
	Reason     keeper.Reason
	RetryAfter time.Duration
}

// Error says what was refused, why, and when to come back.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no slot at endpoint %s: %s; come back in %s", e.Endpoint, e.Reason, e.RetryAfter)
}

// BatchWorker runs batch items when a keeper says so; its methods must not block.
type BatchWorker interface {
	// StartItem runs the item, or takes it up again after ParkItem.
	StartItem(endpoint, id string)
	// ParkItem stops the item at once and keeps the tokens that it has.
	ParkItem(endpoint, id string)
}

type answer struct {
	refused option.Option[keeper.Refused]
	load    keeper.Load
}

// event is one input for one keeper, or a question that runs on the loop.
type event struct {
	endpoint string
	input    keeper.Input
	reply    chan answer
	call     func(map[string]*keeper.Keeper)
}

// Granter owns the keepers of this VM; one loop runs them all.
type Granter struct {
	events   chan event
	keepers  map[string]*keeper.Keeper
	waiting  map[string]chan answer
	worker   BatchWorker
	policies func(endpoint string) (keeper.Policy, bool)
	stop     context.CancelFunc
	done     chan struct{}

	// RingFull counts inputs refused because the ring was full.
	RingFull atomic.Int64
	// Parked counts batch items that yielded.
	Parked atomic.Int64
	// Granted and Refused count online decisions.
	Granted, Refused atomic.Int64
}

// New returns a granter; policies tells the policy of an endpoint as now in force.
func New(policies func(endpoint string) (keeper.Policy, bool)) *Granter {
	return &Granter{
		events:   make(chan event, ringSlots),
		keepers:  map[string]*keeper.Keeper{},
		waiting:  map[string]chan answer{},
		policies: policies,
		done:     make(chan struct{}),
	}
}

// Start begins to run the keepers.
func (g *Granter) Start(w BatchWorker) {
	ctx, cancel := context.WithCancel(context.Background())
	g.worker, g.stop = w, cancel
	go g.loop(ctx)
}

// Stop ends the keepers; who still waits is refused.
func (g *Granter) Stop() {
	g.stop()
	<-g.done
}

// Reserve waits for a slot at an endpoint that this VM keeps; a keeper is made at the first request.
func (g *Granter) Reserve(ctx context.Context, r Request) (keeper.Load, error) {
	reply := make(chan answer, 1)
	in := keeper.Asked{
		ID: r.ID, VM: r.VM, Account: r.Account, Tokens: r.Tokens, Deadline: r.Deadline, HoldUntil: r.HoldUntil,
	}
	if !g.tell(event{endpoint: r.Endpoint, input: in, reply: reply}) {
		return keeper.Load{}, &RefusedError{Endpoint: r.Endpoint, Reason: keeper.ReasonQueueFull, RetryAfter: time.Second}
	}
	select {
	case a := <-reply:
		if refused, ok := a.refused.Get(); ok {
			return a.load, &RefusedError{Endpoint: r.Endpoint, Reason: refused.Reason, RetryAfter: refused.RetryAfter}
		}
		return a.load, nil
	case <-ctx.Done():
		// The grant may be on its way: both end here, whichever came first.
		g.Tell(r.Endpoint, keeper.Withdrawn{ID: r.ID})
		g.Tell(r.Endpoint, keeper.Returned{ID: r.ID})
		return keeper.Load{}, ctx.Err()
	case <-g.done:
		return keeper.Load{}, &RefusedError{Endpoint: r.Endpoint, Reason: keeper.ReasonLeaving, RetryAfter: time.Second}
	}
}

// Tell hands an input to the keeper of the endpoint.
func (g *Granter) Tell(endpoint string, in keeper.Input) {
	g.tell(event{endpoint: endpoint, input: in})
}

// Loads returns the load of every endpoint that this VM keeps.
func (g *Granter) Loads() map[string]keeper.Load {
	loads := map[string]keeper.Load{}
	g.ask(func(keepers map[string]*keeper.Keeper) {
		for name, k := range keepers {
			loads[name] = k.Load()
		}
	})
	return loads
}

// BatchRoom returns how many more items the keeper of the endpoint would like to have ready.
func (g *Granter) BatchRoom(endpoint string) int {
	room := 0
	g.ask(func(map[string]*keeper.Keeper) {
		if k := g.keeper(endpoint); k != nil {
			room = k.BatchRoom()
		}
	})
	return room
}

// Reconfigure gives every keeper its policy anew and drops those whose endpoint is gone or idle elsewhere.
func (g *Granter) Reconfigure() {
	g.tell(event{call: func(keepers map[string]*keeper.Keeper) {
		for name := range keepers {
			if p, ok := g.policies(name); ok {
				g.handle(name, keeper.Configured{Policy: p})
			} else {
				g.handle(name, keeper.Configured{Policy: keeper.Policy{IsLeaving: true}})
				delete(keepers, name)
			}
		}
	}})
}

// LoseVM frees all that a lost VM holds at any keeper.
func (g *Granter) LoseVM(vm string) {
	g.tell(event{call: func(keepers map[string]*keeper.Keeper) {
		for name := range keepers {
			g.handle(name, keeper.VMLost{VM: vm})
		}
	}})
}

func (g *Granter) ask(call func(map[string]*keeper.Keeper)) {
	done := make(chan struct{})
	ok := g.tell(event{call: func(keepers map[string]*keeper.Keeper) {
		call(keepers)
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

func (g *Granter) tell(e event) bool {
	select {
	case g.events <- e:
		return true
	default:
		g.RingFull.Add(1)
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
			g.take(e)
		case <-timer.C:
			g.wakeDue(time.Now())
		}
		g.setTimer(timer)
	}
}

func (g *Granter) take(e event) {
	if e.call != nil {
		e.call(g.keepers)
		return
	}
	if e.reply != nil {
		g.waiting[e.input.(keeper.Asked).ID] = e.reply
	}
	g.handle(e.endpoint, e.input)
}

func (g *Granter) wakeDue(now time.Time) {
	for name, k := range g.keepers {
		if wake, ok := k.NextWake().Get(); ok && !wake.After(now) {
			g.handle(name, keeper.Woken{})
		}
	}
}

func (g *Granter) setTimer(timer *time.Timer) {
	next := time.Hour
	for _, k := range g.keepers {
		if wake, ok := k.NextWake().Get(); ok {
			next = min(next, time.Until(wake))
		}
	}
	timer.Reset(max(0, next))
}

// keeper returns the keeper of the endpoint, made on first use, or nil when no such endpoint is declared.
func (g *Granter) keeper(endpoint string) *keeper.Keeper {
	if k, ok := g.keepers[endpoint]; ok {
		return k
	}
	p, ok := g.policies(endpoint)
	if !ok {
		return nil
	}
	k := keeper.New()
	k.Handle(time.Now(), keeper.Configured{Policy: p})
	g.keepers[endpoint] = k
	return k
}

func (g *Granter) handle(endpoint string, in keeper.Input) {
	k := g.keeper(endpoint)
	if k == nil {
		if asked, ok := in.(keeper.Asked); ok {
			g.answer(asked.ID, answer{refused: option.Some(keeper.Refused{Reason: keeper.ReasonLeaving, RetryAfter: time.Second})})
		}
		return
	}
	if w, ok := in.(keeper.Withdrawn); ok {
		delete(g.waiting, w.ID)
	}
	for _, out := range k.Handle(time.Now(), in) {
		switch out := out.(type) {
		case keeper.Granted:
			g.Granted.Add(1)
			g.answer(out.ID, answer{load: k.Load()})
		case keeper.Refused:
			g.Refused.Add(1)
			g.answer(out.ID, answer{refused: option.Some(out), load: k.Load()})
		case keeper.BatchStarted:
			g.worker.StartItem(endpoint, out.ID)
		case keeper.BatchParked:
			g.Parked.Add(1)
			g.worker.ParkItem(endpoint, out.ID)
		}
	}
}

func (g *Granter) answer(id string, a answer) {
	if reply, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		reply <- a
	}
}
