package granter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
)

const (
	// firstReplyTimeout is the maximum wait for an allocator's first reply: a decision, or that the request is queued.
	firstReplyTimeout  = 60 * time.Millisecond
	maxAllocatorsTried = 2
	returnQueueSize    = 4096
	returnWorkers      = 4
	// returnTimeout is the maximum time of a call that returns or declares slots.
	returnTimeout = time.Second
)

// Slot is a slot in use; By is the id of the VM that granted it, and is empty for a slot of this VM's local share.
type Slot struct {
	Request
	Region string
	By     string
	Load   allocator.Load
}

// slotReturn is a slot to return, with the measurements of the attempt that used it.
type slotReturn struct {
	slot   Slot
	report allocator.Report
}

// Reserver reserves slots for this VM's requests at the VM that allocates the endpoint's slots.
type Reserver struct {
	granter    *Granter
	membership *messenger.Membership
	caller     *messenger.Caller
	log        logrus.FieldLogger
	onLoad     func(endpoint string, l allocator.Load)

	mu         sync.Mutex
	held       map[string]Slot
	localInUse map[string]int

	returns chan slotReturn
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// NewReserver returns a reserver; it calls onLoad with every load that a reply carries.
func NewReserver(
	g *Granter, m *messenger.Membership, c *messenger.Caller, log logrus.FieldLogger, onLoad func(string, allocator.Load),
) *Reserver {
	return &Reserver{
		granter: g, membership: m, caller: c, log: log, onLoad: onLoad,
		held: map[string]Slot{}, localInUse: map[string]int{},
		returns: make(chan slotReturn, returnQueueSize),
	}
}

// Start starts the goroutines that return slots.
func (r *Reserver) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	for range returnWorkers {
		r.done.Add(1)
		go r.loopReturns(ctx)
	}
}

// Stop ends the return of slots; the allocators free the remaining slots when they learn that this VM is gone.
func (r *Reserver) Stop() {
	r.stop()
	r.done.Wait()
}

// Reserve waits for a slot at an endpoint of the region; slots is the total number of its slots. If no allocator answers, the
// slot comes from a small local share.
//
// Errors: *RefusedError, or the context's error.
func (r *Reserver) Reserve(ctx context.Context, req Request, region string, slots int) (Slot, error) {
	ctx, span := otel.Tracer("granter").Start(ctx, "keeper reserve")
	defer span.End()
	span.SetAttributes(attribute.String("endpoint", req.Endpoint))
	view := r.membership.View()
	req.VM = view.Self.VM
	allocators := view.Allocators(req.Endpoint, region)
	for _, vm := range allocators[:min(maxAllocatorsTried, len(allocators))] {
		load, err := r.reserveAt(ctx, view, vm, req)
		if refused := (*RefusedError)(nil); err != nil && !errors.As(err, &refused) {
			// The grant may have been in transit when the call ended.
			r.queueReturn(slotReturn{slot: Slot{Request: req, Region: region, By: vm}})
		}
		if unreachable := (*unreachableError)(nil); errors.As(err, &unreachable) {
			r.log.WithError(err).WithField("keeper", vm).Debug("slot allocator did not answer; trying the next or the local share")
			continue
		}
		if load.Slots > 0 {
			r.onLoad(req.Endpoint, load)
		}
		if err != nil {
			return Slot{}, err
		}
		span.SetAttributes(attribute.String("keeper", vm))
		return r.hold(Slot{Request: req, Region: region, By: vm, Load: load}), nil
	}
	return r.reserveLocally(req, region, slots, len(view.Live("")))
}

// reserveLocally takes a slot of this VM's local share, which is used while no allocator answers: the endpoint's slots
// divided by the number of live VMs, but at least one.
func (r *Reserver) reserveLocally(req Request, region string, slots, vms int) (Slot, error) {
	r.mu.Lock()
	share := max(1, slots/max(1, vms))
	if r.localInUse[req.Endpoint] >= share {
		r.mu.Unlock()
		return Slot{}, &RefusedError{Endpoint: req.Endpoint, Reason: allocator.ReasonQueueFull, RetryAfter: time.Second}
	}
	r.localInUse[req.Endpoint]++
	r.mu.Unlock()
	return r.hold(Slot{Request: req, Region: region}), nil
}

// hold records the slot as held by this VM.
func (r *Reserver) hold(s Slot) Slot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[s.ID] = s
	return s
}

// Return releases a slot and reports the measurements of the attempt that used it.
func (r *Reserver) Return(s Slot, report allocator.Report) {
	r.mu.Lock()
	s, ok := r.held[s.ID]
	delete(r.held, s.ID)
	if ok && s.By == "" {
		r.localInUse[s.Endpoint]--
	}
	r.mu.Unlock()
	if !ok || s.By == "" {
		return
	}
	r.queueReturn(slotReturn{slot: s, report: report})
}

func (r *Reserver) queueReturn(ret slotReturn) {
	select {
	case r.returns <- ret:
	default:
		// The allocator frees the slot itself some time after HoldUntil.
		r.log.WithField("endpoint", ret.slot.Endpoint).Warn("slot return dropped: queue is full; the slot is freed after its hold time")
	}
}

// unreachableError says that an allocator sent no first reply in time, or that the call to it failed.
type unreachableError struct {
	vm    string
	cause error
}

func (e *unreachableError) Error() string {
	return "slot request to VM " + e.vm + " failed (first reply due within " + firstReplyTimeout.String() + "): " + e.cause.Error()
}

func (r *Reserver) reserveAt(ctx context.Context, view *messenger.View, vm string, req Request) (allocator.Load, error) {
	if vm == view.Self.VM {
		return r.granter.Reserve(ctx, req)
	}
	m, _ := view.Member(vm)
	client, err := r.caller.VM(m.Address)
	if err != nil {
		return allocator.Load{}, &unreachableError{vm: vm, cause: err}
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(firstReplyTimeout, func() { cancel(errors.New("no first reply in time")) })
	defer timer.Stop()
	stream, err := client.Reserve(callCtx, reserveToWire(req, time.Now()))
	if err != nil {
		return allocator.Load{}, &unreachableError{vm: vm, cause: err}
	}
	reply, err := stream.Recv()
	if err != nil {
		return allocator.Load{}, &unreachableError{vm: vm, cause: err}
	}
	timer.Stop()
	for reply.GetQueued() {
		if reply, err = stream.Recv(); err != nil {
			return allocator.Load{}, r.queueingError(ctx, vm, err)
		}
	}
	load := loadFromWire(reply.GetLoad())
	if reply.GetGranted() {
		return load, nil
	}
	return load, &RefusedError{
		Endpoint: req.Endpoint, Reason: allocator.Reason(reply.GetReason()), RetryAfter: time.Duration(reply.GetRetryAfterNanos()),
	}
}

// queueingError returns the error of a request that failed while it was queued: ctx's own error if the caller cancelled, and
// otherwise an *unreachableError.
//
// ctx must be the caller's: the context of the call also ends when the first reply arrives just as its timeout ends.
func (r *Reserver) queueingError(ctx context.Context, vm string, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &unreachableError{vm: vm, cause: err}
}

func (r *Reserver) loopReturns(ctx context.Context) {
	defer r.done.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case ret := <-r.returns:
			r.sendReturn(ctx, ret)
		}
	}
}

// sendReturn returns the slot to the allocator that granted it and passes on the load in the reply.
func (r *Reserver) sendReturn(ctx context.Context, ret slotReturn) {
	view := r.membership.View()
	if ret.slot.By == view.Self.VM {
		r.granter.Submit(ret.slot.Endpoint, allocator.SlotReleased{ID: ret.slot.ID, Report: ret.report})
		return
	}
	m, ok := view.Member(ret.slot.By)
	if !ok {
		return
	}
	client, err := r.caller.VM(m.Address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	reply, err := client.Return(ctx, returnToWire(ret))
	if err != nil {
		r.log.WithError(err).WithField("keeper", ret.slot.By).Debug("slot return failed; the slot is freed after its hold time")
		return
	}
	r.onLoad(ret.slot.Endpoint, loadFromWire(reply.GetLoad()))
}

// DeclareMoved declares the slots whose granting VM is no longer live to the new allocators of their endpoints.
//
// A slot stays with the VM that granted it as long as that VM is live, even if it is no longer the first choice: only that
// VM counts the slot, so the slot must be returned to it.
func (r *Reserver) DeclareMoved(view *messenger.View) {
	moved := map[string][]Slot{}
	live := view.Live("")
	r.mu.Lock()
	for id, s := range r.held {
		allocators := view.Allocators(s.Endpoint, s.Region)
		if s.By == "" || len(allocators) == 0 || slices.Contains(live, s.By) {
			continue
		}
		s.By = allocators[0]
		r.held[id] = s
		moved[s.Endpoint] = append(moved[s.Endpoint], s)
	}
	r.mu.Unlock()
	for endpoint, slots := range moved {
		r.declare(view, endpoint, slots)
	}
}

// declare declares slots of one endpoint to its new allocator.
func (r *Reserver) declare(view *messenger.View, endpoint string, slots []Slot) {
	to := slots[0].By
	if to == view.Self.VM {
		for _, s := range slots {
			r.granter.Submit(endpoint, allocator.SlotDeclared{ID: s.ID, VM: to, Account: s.Account, HoldUntil: s.HoldUntil})
		}
		return
	}
	m, _ := view.Member(to)
	client, err := r.caller.VM(m.Address)
	if err != nil {
		return
	}
	req := &wire.DeclareRequest{Vm: view.Self.VM, Endpoint: endpoint}
	for _, s := range slots {
		req.Slots = append(req.Slots, &wire.Slot{
			Id: s.ID, Account: s.Account, HoldForNanos: int64(time.Until(s.HoldUntil)),
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	if _, err := client.Declare(ctx, req); err != nil {
		r.log.WithError(err).WithField("keeper", to).Debug("moved slots not declared; their new allocator does not count them")
	}
}
