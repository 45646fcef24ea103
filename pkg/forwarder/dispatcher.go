package forwarder

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/retrier"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/granter"
)

// Call is what a request needs of an endpoint; Deadline is the time by which its answer is of use.
type Call struct {
	Account      string
	Serves       string
	Blocks       []uint64
	Tokens       int
	Bytes        int
	Deadline     time.Time
	IsRepeatable bool
}

// Target is the endpoint that an attempt goes to.
type Target struct {
	Attempt  string
	Endpoint declarer.Endpoint
}

// Try makes one attempt; its error is kept for the refusal's words.
type Try func(ctx context.Context, t Target) (outcome.Outcome, keeper.Report, error)

// GivenUpError says that a request got no whole answer; Outcome is NotRun or Unknown.
type GivenUpError struct {
	Outcome    outcome.Outcome
	RetryAfter time.Duration
	Attempts   int
	Cause      error
}

// Error says how the request ended and after how many attempts.
func (e *GivenUpError) Error() string {
	return fmt.Sprintf("given up as %s after %d attempts: %v", outcome.Name(e.Outcome), e.Attempts, e.Cause)
}

// Unwrap returns the cause.
func (e *GivenUpError) Unwrap() error { return e.Cause }

// NoEndpointError says that nothing in reach serves the model or service.
type NoEndpointError struct {
	Serves string
}

// Error names what was asked for.
func (e *NoEndpointError) Error() string {
	return "no live endpoint serves " + e.Serves
}

// Reserver gets and returns slots.
type Reserver interface {
	Reserve(ctx context.Context, req granter.Request, region string, slots int) (granter.Slot, error)
	Return(s granter.Slot, report keeper.Report)
}

// Catalogue tells which endpoints are declared now.
type Catalogue interface {
	Endpoint(name string) (declarer.Endpoint, bool)
	OnlinePolicy() declarer.OnlinePolicy
}

// Dispatcher finds endpoints for calls, one attempt after the other.
type Dispatcher struct {
	reserver  Reserver
	catalogue Catalogue
	log       logrus.FieldLogger
	routes    *Routes
	onLeaving func(endpoint string)

	mu     sync.Mutex
	budget *retrier.Budget

	// Counts are readable at any time.
	Counts Counts
}

// NewDispatcher returns a dispatcher; onLeaving hears when an endpoint says by itself that it leaves.
func NewDispatcher(
	r Reserver, c Catalogue, routes *Routes, log logrus.FieldLogger, onLeaving func(endpoint string),
) *Dispatcher {
	return &Dispatcher{
		reserver: r, catalogue: c, routes: routes, log: log, onLeaving: onLeaving, budget: retrier.NewBudget(0),
	}
}

// SetRetryBudget changes how many retries each request earns.
func (d *Dispatcher) SetRetryBudget(ratio float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.SetRatio(ratio)
}

// Do makes attempts until one completes, the budget or the time is spent, or a repetition is not allowed.
//
// Errors: *GivenUpError, or the error of a completed attempt.
func (d *Dispatcher) Do(ctx context.Context, call Call, try Try) error {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	d.offer()
	tally := outcome.Tally{}
	tried := []string{}
	for {
		slot, endpoint, err := d.reserve(ctx, call, tried)
		if err != nil {
			return d.giveUp(&tally, len(tried), err)
		}
		tried = append(tried, endpoint.Name)
		o, err := d.attempt(ctx, slot, endpoint, try)
		tally.Add(o)
		if _, isCompleted := o.(outcome.Completed); isCompleted {
			return err
		}
		d.log.WithError(err).WithFields(logrus.Fields{"endpoint": endpoint.Name, "outcome": outcome.Name(o)}).Info("attempt failed")
		if isFinal(err) || !call.IsRepeatable || ctx.Err() != nil || !d.takeRetry() {
			return d.giveUp(&tally, len(tried), err)
		}
	}
}

// isFinal reports whether another attempt would be of no use to the caller.
func isFinal(err error) bool {
	diverged := (*DivergedError)(nil)
	callerGone := sinkError{}
	return errors.As(err, &diverged) || errors.As(err, &callerGone)
}

func (d *Dispatcher) attempt(ctx context.Context, slot granter.Slot, e declarer.Endpoint, try Try) (outcome.Outcome, error) {
	d.Counts.Attempts.Add(1)
	d.routes.Tell(router.Sent{Endpoint: e.Name})
	o, report, err := try(ctx, Target{Attempt: slot.ID, Endpoint: e})
	_, isCompleted := o.(outcome.Completed)
	d.routes.Tell(router.Ended{Endpoint: e.Name, IsFailed: !isCompleted && ctx.Err() == nil})
	d.reserver.Return(slot, report)
	return o, err
}

// reserve asks the candidates in turn; the refusal with the shortest time to come back is the one reported.
func (d *Dispatcher) reserve(ctx context.Context, call Call, tried []string) (granter.Slot, declarer.Endpoint, error) {
	var best error = &NoEndpointError{Serves: call.Serves}
	shortest := time.Duration(1<<63 - 1)
	for _, name := range d.routes.candidates(call, tried) {
		e, ok := d.catalogue.Endpoint(name)
		if !ok || e.IsLeaving {
			continue
		}
		slot, err := d.reserver.Reserve(ctx, d.request(call, e), e.Region, e.Slots)
		if err == nil {
			return slot, e, nil
		}
		refused := (*granter.RefusedError)(nil)
		if !errors.As(err, &refused) {
			return granter.Slot{}, e, err
		}
		if refused.RetryAfter < shortest {
			best, shortest = err, refused.RetryAfter
		}
	}
	return granter.Slot{}, declarer.Endpoint{}, best
}

// request says until when a slot is of use: the time that the answer itself takes comes off the deadline.
func (d *Dispatcher) request(call Call, e declarer.Endpoint) granter.Request {
	left := time.Until(call.Deadline)
	needs := min(time.Duration(call.Tokens)*d.catalogue.OnlinePolicy().TokenGapTarget, left*3/4)
	return granter.Request{
		ID: uuid.NewString(), Endpoint: e.Name, Account: call.Account, Tokens: call.Tokens,
		Deadline: call.Deadline.Add(-needs), HoldUntil: call.Deadline,
	}
}

func (d *Dispatcher) offer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Counts.Requests.Add(1)
	d.budget.Offer()
}

func (d *Dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.budget.Take() {
		d.Counts.BudgetSpent.Add(1)
		return false
	}
	d.Counts.Retries.Add(1)
	return true
}

func (d *Dispatcher) giveUp(tally *outcome.Tally, attempts int, cause error) error {
	after := refusalPause
	if refused := (*granter.RefusedError)(nil); errors.As(cause, &refused) {
		after = refused.RetryAfter
	}
	o := tally.Refuse(cause.Error(), after)
	return &GivenUpError{Outcome: o, RetryAfter: after, Attempts: attempts, Cause: cause}
}
