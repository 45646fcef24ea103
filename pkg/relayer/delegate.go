package relayer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	core "github.com/dogwoodledge/dogwoodledge/pkg/core/delegator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/delegator"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/scout"
)

// Links tells whether this VM reaches the endpoints.
type Links interface {
	// ServesLocally draws whether this VM sends a new request to an endpoint itself.
	ServesLocally() bool
	// Silenced returns a context that ends, with scout.ErrPartitioned, once nothing is heard from any endpoint any more.
	Silenced() context.Context
}

// Delegator chooses the VMs that requests are handed over to.
type Delegator interface {
	// Begin chooses a VM other than those that were tried, and counts the request there; false if none has room.
	Begin(tried map[string]bool) (*delegator.Delegation, bool)
}

// Handover is what a relayer needs to hand requests over to other VMs.
type Handover struct {
	Links     Links
	Delegator Delegator
	// HasPeers reports whether any other VM is in touch with the endpoints.
	HasPeers func() bool
	// Pool holds the connections to other VMs.
	Pool *dialer.Pool
}

// SetHandover makes the relayer hand requests over while this VM reaches no endpoint; it must be called before the first request.
func (l *Relayer) SetHandover(h Handover) { l.handover = &h }

// delegatedRetryAfter is the Retry-After for a request that no VM in touch with the endpoints has room for.
const delegatedRetryAfter = 200 * time.Millisecond

// refuseDelegated refuses a request that another VM handed over while this VM reaches no endpoint either, and reports whether it
// did.
func (q *request) refuseDelegated() bool {
	if !q.isDelegated() || q.handover == nil || q.handover.Links.ServesLocally() {
		return false
	}
	q.w.Header().Set(delegator.UnavailableHeader, "1")
	q.refuse(placer.Refuse{Reason: "this VM reaches no endpoint"})
	return true
}

// mayDelegate reports whether the request is to be handed over to another VM, rather than sent to an endpoint.
func (q *request) mayDelegate() bool {
	return q.handover != nil && !q.isDelegated() && !q.handover.Links.ServesLocally() && q.handover.HasPeers()
}

// hasLostLinks reports whether the links were lost while the request was placed, and another VM can serve it.
func (q *request) hasLostLinks() bool {
	return q.handover != nil && q.handover.Links.Silenced().Err() != nil && (q.isDelegated() || q.handover.HasPeers())
}

// delegate hands the request over to another VM and reports whether the request is over.
func (q *request) delegate() bool {
	p, ok := q.handover.Delegator.Begin(q.triedVMs)
	if !ok {
		q.refuse(placer.Refuse{Reason: "this VM reaches no endpoint, and no other VM has room", RetryAfter: delegatedRetryAfter})
		return true
	}
	if q.triedVMs == nil {
		q.triedVMs = map[string]bool{}
	}
	q.triedVMs[p.VM] = true
	q.endsAtClose, q.firstEvent = false, continuer.NoEvent
	// The other VM may make the request wait for a slot up to the objective.
	q.endpoint, q.decision, q.estimate = "VM "+p.VM, "delegate", 2*q.route.Objective
	q.atPeer = true
	isOver, how := q.exchangeWithPeer(p)
	q.atPeer = false
	p.End(how)
	return isOver
}

// exchangeWithPeer sends the request to another VM and passes its answer on. It returns whether the request is over, and how it
// ended there.
func (q *request) exchangeWithPeer(p *delegator.Delegation) (bool, core.Ending) {
	conn, err := q.handover.Pool.Get(q.ctx, p.VM, p.Address, q.id)
	if err != nil {
		q.cause = err
		return false, q.failedAtPeer()
	}
	left := time.Until(q.deadline)
	if maySend, isOver := q.checkTime(left); !maySend {
		_ = conn.Close()
		return isOver, core.Canceled
	}
	q.runs++
	ctx, cancel := q.withAttemptTimeout()
	defer cancel()
	q.attemptCtx = ctx
	x, err := q.handover.Pool.Do(ctx, conn, q.outgoingToPeer(p, left))
	if err != nil {
		q.cause = err
		if q.endIfUnsendable(err) {
			return true, core.Canceled
		}
		if dialer.IsRejection(err) {
			return q.endUnlessRetryable(err), core.Served
		}
		return q.endUnlessRetryable(err), q.failedAtPeer()
	}
	defer x.Close()
	if x.Response.Header.Get(delegator.UnavailableHeader) != "" {
		// It tells nothing about the room at the endpoints, so it doesn't count as their refusal.
		q.runs--
		q.cause = errors.Errorf("VM %s takes no requests: status %d", p.VM, x.Response.StatusCode)
		x.Drain()
		return false, core.Refused
	}
	refusals := q.refusals
	isOver, ending := q.handleAnswer(x, nil, placer.Send{Endpoint: registrar.Endpoint{ID: q.endpoint}})
	if q.refusals > refusals || ending == placer.EndedComplete || ending == placer.EndedRejected {
		return isOver, core.Served
	}
	return isOver, q.failedAtPeer()
}

// failedAtPeer returns how a request has ended at another VM that brought no complete answer.
func (q *request) failedAtPeer() core.Ending {
	if q.ctx.Err() != nil {
		return core.Canceled
	}
	return core.Failed
}

// limitAttempts lets one endpoint at most run a request that another VM handed over: that VM counts it as one of its attempts.
func (q *request) limitAttempts() {
	if q.isDelegated() {
		q.route.MaxAttempts = 1
	}
}

// endOnSilence ends an attempt at an endpoint once nothing is heard from any endpoint any more, if the request may be sent to
// another one. Otherwise its answer may still come, but it holds no slot any longer. The returned function ends the watch.
func (q *request) endOnSilence(ticket *placer.Ticket, cancel context.CancelCauseFunc) func() {
	if q.handover == nil {
		return func() {}
	}
	silenced := q.handover.Links.Silenced()
	if silenced.Err() != nil {
		// No other VM is in touch either, and this one serves as well as it can.
		return func() {}
	}
	mayRepeat := q.route.IsIdempotent() && !q.isDelegated()
	stop := context.AfterFunc(silenced, func() {
		q.balancer.End(ticket, placer.EndedLocally)
		if mayRepeat {
			cancel(scout.ErrPartitioned)
		}
	})
	return func() { stop() }
}

// isCutOff reports whether the attempt was ended because this VM hears no endpoint.
func (q *request) isCutOff() bool {
	return q.attemptCtx != nil && errors.Is(context.Cause(q.attemptCtx), scout.ErrPartitioned)
}
