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

	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
)

const (
	keeperAnswersIn = 60 * time.Millisecond
	keepersAsked    = 2
	returnRing      = 4096
	returnWorkers   = 4
	returnTimeout   = time.Second
)

// Slot is a slot in use; By names the VM that granted it, and is empty for one of the local share.
type Slot struct {
	Request
	Region string
	By     string
	Load   keeper.Load
}

type returned struct {
	slot   Slot
	report keeper.Report
}

// Reserver gets slots for this VM's requests from whichever VM keeps the endpoint.
type Reserver struct {
	granter    *Granter
	membership *messenger.Membership
	caller     *messenger.Caller
	log        logrus.FieldLogger
	onLoad     func(endpoint string, l keeper.Load)

	mu    sync.Mutex
	held  map[string]Slot
	local map[string]int

	returns chan returned
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// NewReserver returns a reserver; onLoad hears every load that a reply carries.
func NewReserver(
	g *Granter, m *messenger.Membership, c *messenger.Caller, log logrus.FieldLogger, onLoad func(string, keeper.Load),
) *Reserver {
	return &Reserver{
		granter: g, membership: m, caller: c, log: log, onLoad: onLoad,
		held: map[string]Slot{}, local: map[string]int{},
		returns: make(chan returned, returnRing),
	}
}

// Start begins to give slots back.
func (r *Reserver) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	for range returnWorkers {
		r.done.Add(1)
		go r.loopReturns(ctx)
	}
}

// Stop ends the giving back; keepers free what is left when they learn that this VM is gone.
func (r *Reserver) Stop() {
	r.stop()
	r.done.Wait()
}

// Reserve waits for a slot at the endpoint in its region; slots is how many it has in all.
//
// Errors: *RefusedError, or the context's error.
func (r *Reserver) Reserve(ctx context.Context, req Request, region string, slots int) (Slot, error) {
	ctx, span := otel.Tracer("granter").Start(ctx, "keeper reserve")
	defer span.End()
	span.SetAttributes(attribute.String("endpoint", req.Endpoint))
	view := r.membership.View()
	req.VM = view.Self.VM
	keepers := view.Keepers(req.Endpoint, region)
	for _, vm := range keepers[:min(keepersAsked, len(keepers))] {
		load, err := r.askVM(ctx, view, vm, req)
		if refused := (*RefusedError)(nil); err != nil && !errors.As(err, &refused) {
			// The grant may have been on its way when the call ended.
			r.queueReturn(returned{slot: Slot{Request: req, Region: region, By: vm}})
		}
		if unreachable := (*unreachableError)(nil); errors.As(err, &unreachable) {
			r.log.WithError(err).WithField("keeper", vm).Debug("keeper does not answer")
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

// reserveLocally takes a slot of this VM's own small share while no keeper answers.
func (r *Reserver) reserveLocally(req Request, region string, slots, vms int) (Slot, error) {
	r.mu.Lock()
	share := max(1, slots/max(1, vms))
	if r.local[req.Endpoint] >= share {
		r.mu.Unlock()
		return Slot{}, &RefusedError{Endpoint: req.Endpoint, Reason: keeper.ReasonQueueFull, RetryAfter: time.Second}
	}
	r.local[req.Endpoint]++
	r.mu.Unlock()
	return r.hold(Slot{Request: req, Region: region}), nil
}

func (r *Reserver) hold(s Slot) Slot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[s.ID] = s
	return s
}

// Return gives a slot back with what was observed.
func (r *Reserver) Return(s Slot, report keeper.Report) {
	r.mu.Lock()
	s, ok := r.held[s.ID]
	delete(r.held, s.ID)
	if ok && s.By == "" {
		r.local[s.Endpoint]--
	}
	r.mu.Unlock()
	if !ok || s.By == "" {
		return
	}
	r.queueReturn(returned{slot: s, report: report})
}

func (r *Reserver) queueReturn(ret returned) {
	select {
	case r.returns <- ret:
	default:
		// The keeper frees the slot by itself at HoldUntil.
		r.log.WithField("endpoint", ret.slot.Endpoint).Warn("return ring is full")
	}
}

// unreachableError says that a keeper gave no answer in time.
type unreachableError struct {
	vm    string
	cause error
}

func (e *unreachableError) Error() string {
	return "VM " + e.vm + " gave no answer within " + keeperAnswersIn.String() + ": " + e.cause.Error()
}

func (r *Reserver) askVM(ctx context.Context, view *messenger.View, vm string, req Request) (keeper.Load, error) {
	if vm == view.Self.VM {
		return r.granter.Reserve(ctx, req)
	}
	m, _ := view.Member(vm)
	client, err := r.caller.VM(m.Address)
	if err != nil {
		return keeper.Load{}, &unreachableError{vm: vm, cause: err}
	}
	askCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	late := time.AfterFunc(keeperAnswersIn, func() { cancel(errors.New("no answer")) })
	defer late.Stop()
	stream, err := client.Reserve(askCtx, reserveToWire(req, time.Now()))
	if err != nil {
		return keeper.Load{}, &unreachableError{vm: vm, cause: err}
	}
	reply, err := stream.Recv()
	if err != nil {
		return keeper.Load{}, &unreachableError{vm: vm, cause: err}
	}
	late.Stop()
	for reply.GetQueued() {
		if reply, err = stream.Recv(); err != nil {
			return keeper.Load{}, r.lostKeeper(ctx, vm, err)
		}
	}
	load := loadFromWire(reply.GetLoad())
	if reply.GetGranted() {
		return load, nil
	}
	return load, &RefusedError{
		Endpoint: req.Endpoint, Reason: keeper.Reason(reply.GetReason()), RetryAfter: time.Duration(reply.GetRetryAfterNanos()),
	}
}

// lostKeeper tells the caller's own leaving, which ends ctx, from a keeper that went away while the request queued.
//
// ctx is the caller's: that of the call also ends when the first reply comes just as its time is over.
func (r *Reserver) lostKeeper(ctx context.Context, vm string, err error) error {
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
			r.giveBack(ctx, ret)
		}
	}
}

func (r *Reserver) giveBack(ctx context.Context, ret returned) {
	view := r.membership.View()
	if ret.slot.By == view.Self.VM {
		r.granter.Tell(ret.slot.Endpoint, keeper.Returned{ID: ret.slot.ID, Report: ret.report})
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
		r.log.WithError(err).WithField("keeper", ret.slot.By).Debug("slot not given back")
		return
	}
	r.onLoad(ret.slot.Endpoint, loadFromWire(reply.GetLoad()))
}

// DeclareMoved tells the new keepers of endpoints whose keeper is gone which slots this VM holds there.
//
// A slot stays with the VM that granted it as long as that one is live, be it the first choice or not: only it counts
// the slot, so only it must get it back.
func (r *Reserver) DeclareMoved(view *messenger.View) {
	moved := map[string][]Slot{}
	live := view.Live("")
	r.mu.Lock()
	for id, s := range r.held {
		keepers := view.Keepers(s.Endpoint, s.Region)
		if s.By == "" || len(keepers) == 0 || slices.Contains(live, s.By) {
			continue
		}
		s.By = keepers[0]
		r.held[id] = s
		moved[s.Endpoint] = append(moved[s.Endpoint], s)
	}
	r.mu.Unlock()
	for endpoint, slots := range moved {
		r.declare(view, endpoint, slots)
	}
}

func (r *Reserver) declare(view *messenger.View, endpoint string, slots []Slot) {
	to := slots[0].By
	if to == view.Self.VM {
		for _, s := range slots {
			r.granter.Tell(endpoint, keeper.Declared{ID: s.ID, VM: to, Account: s.Account, HoldUntil: s.HoldUntil})
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
		r.log.WithError(err).WithField("keeper", to).Debug("slots not declared")
	}
}
