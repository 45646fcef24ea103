package granter

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
)

// reserveToWire encodes times as durations from now, so that the clocks of two VMs need not agree.
func reserveToWire(r Request, now time.Time) *wire.ReserveRequest {
	return &wire.ReserveRequest{
		Id: r.ID, Vm: r.VM, Endpoint: r.Endpoint, Account: r.Account, Tokens: int64(r.Tokens),
		StartWithinNanos: int64(r.Deadline.Sub(now)), HoldForNanos: int64(r.HoldUntil.Sub(now)),
	}
}

func reserveFromWire(w *wire.ReserveRequest, now time.Time) Request {
	return Request{
		ID: w.GetId(), VM: w.GetVm(), Endpoint: w.GetEndpoint(), Account: w.GetAccount(), Tokens: int(w.GetTokens()),
		Deadline: now.Add(time.Duration(w.GetStartWithinNanos())), HoldUntil: now.Add(time.Duration(w.GetHoldForNanos())),
	}
}

func returnToWire(ret slotReturn) *wire.ReturnRequest {
	return &wire.ReturnRequest{
		Id: ret.slot.ID, Endpoint: ret.slot.Endpoint,
		FirstTokenNanos: int64(ret.report.FirstToken), TokenGapNanos: int64(ret.report.TokenGap),
		Tokens: int64(ret.report.Tokens), TookNanos: int64(ret.report.Took), Failed: ret.report.IsFailed,
	}
}

func reportFromWire(w *wire.ReturnRequest) allocator.Report {
	return allocator.Report{
		FirstToken: time.Duration(w.GetFirstTokenNanos()), TokenGap: time.Duration(w.GetTokenGapNanos()),
		Tokens: int(w.GetTokens()), Took: time.Duration(w.GetTookNanos()), IsFailed: w.GetFailed(),
	}
}

func loadToWire(l allocator.Load) *wire.Load {
	return &wire.Load{
		Online: int64(l.Online), Queued: int64(l.Queued), Batch: int64(l.Batch), Slots: int64(l.Slots),
		WaitNanos: int64(l.Waiting),
	}
}

func loadFromWire(w *wire.Load) allocator.Load {
	return allocator.Load{
		Online: int(w.GetOnline()), Queued: int(w.GetQueued()), Batch: int(w.GetBatch()), Slots: int(w.GetSlots()),
		Waiting: time.Duration(w.GetWaitNanos()),
	}
}

// ServeReserve serves a Reserve call of another VM.
func (g *Granter) ServeReserve(w *wire.ReserveRequest, s grpc.ServerStreamingServer[wire.ReserveReply]) error {
	if err := s.Send(&wire.ReserveReply{Queued: true}); err != nil {
		return err
	}
	req := reserveFromWire(w, time.Now())
	load, err := g.Reserve(s.Context(), req)
	refused := (*RefusedError)(nil)
	switch {
	case errors.As(err, &refused):
		return s.Send(&wire.ReserveReply{
			Reason: string(refused.Reason), RetryAfterNanos: int64(refused.RetryAfter), Load: loadToWire(load),
		})
	case err != nil:
		return err
	}
	if err := s.Send(&wire.ReserveReply{Granted: true, Load: loadToWire(load)}); err != nil {
		g.Submit(req.Endpoint, allocator.SlotReleased{ID: req.ID})
		return err
	}
	return nil
}

// ServeReturn serves a Return call of another VM.
func (g *Granter) ServeReturn(_ context.Context, w *wire.ReturnRequest) (*wire.ReturnReply, error) {
	g.Submit(w.GetEndpoint(), allocator.SlotReleased{ID: w.GetId(), Report: reportFromWire(w)})
	return &wire.ReturnReply{Load: loadToWire(g.Loads()[w.GetEndpoint()])}, nil
}

// ServeDeclare serves a Declare call of another VM.
func (g *Granter) ServeDeclare(_ context.Context, w *wire.DeclareRequest) (*wire.DeclareReply, error) {
	now := time.Now()
	for _, s := range w.GetSlots() {
		g.Submit(w.GetEndpoint(), allocator.SlotDeclared{
			ID: s.GetId(), VM: w.GetVm(), Account: s.GetAccount(), HoldUntil: now.Add(time.Duration(s.GetHoldForNanos())),
		})
	}
	return &wire.DeclareReply{}, nil
}
