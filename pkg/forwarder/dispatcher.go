package forwarder

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/retrier"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/granter"
)

// maxEnded bounds the endpoints that may end under one request: an attempt whose outcome is Unknown may have ended its endpoint.
const maxEnded = 2

// Call is what a request needs of an endpoint. Serves names the model or service, Blocks holds the hashes of the prompt's
// blocks, Tokens limits the answer's length, Bytes is the length of the request's body, and an answer after Deadline is of
// no use.
type Call struct {
	Account      string
	Serves       string
	Blocks       []uint64
	Tokens       int
	Bytes        int
	Deadline     time.Time
	IsRepeatable bool
	// request is the part that stands for the whole request in the quarantine; empty for none.
	request string
}

// Target is the id of an attempt and the endpoint that it is sent to.
type Target struct {
	Attempt  string
	Endpoint declarer.Endpoint
}

// Try makes one attempt; its error becomes the cause of a RequestFailedError.
type Try func(ctx context.Context, t Target) (outcome.Outcome, allocator.Report, error)

// RequestFailedError says that a request got no complete answer; Outcome is NotRun or Unknown.
type RequestFailedError struct {
	Outcome    outcome.Outcome
	RetryAfter time.Duration
	Attempts   int
	Cause      error
}

// Error gives the outcome, the number of attempts and the cause.
func (e *RequestFailedError) Error() string {
	return fmt.Sprintf("given up as %s after %d attempts: %v", outcome.Name(e.Outcome), e.Attempts, e.Cause)
}

// Unwrap returns the cause.
func (e *RequestFailedError) Unwrap() error { return e.Cause }

// NoEndpointError says that no live endpoint serves the model or service.
type NoEndpointError struct {
	Serves string
}

// Error names the model or service.
func (e *NoEndpointError) Error() string {
	return "no live endpoint serves " + e.Serves
}

// Reserver reserves and returns slots.
type Reserver interface {
	Reserve(ctx context.Context, req granter.Request, region string, slots int) (granter.Slot, error)
	Return(s granter.Slot, report allocator.Report)
}

// Catalogue gives the endpoints and the online policy of the active configuration.
type Catalogue interface {
	Endpoint(name string) (declarer.Endpoint, bool)
	OnlinePolicy() declarer.OnlinePolicy
}

// Dispatcher sends requests to endpoints, one attempt after the other.
type Dispatcher struct {
	reserver  Reserver
	catalogue Catalogue
	log       logrus.FieldLogger
	router    *SharedRouter
	onLeaving func(endpoint string)
	// quarantine has a lock of its own.
	quarantine *quarantine

	mu     sync.Mutex
	budget *retrier.Budget

	// Counts may be read at any time.
	Counts Counts
}

// NewDispatcher returns a dispatcher; onLeaving is called when an endpoint's response says that it is leaving.
func NewDispatcher(
	r Reserver, c Catalogue, shared *SharedRouter, log logrus.FieldLogger, onLeaving func(endpoint string),
) *Dispatcher {
	return &Dispatcher{
		reserver: r, catalogue: c, router: shared, log: log, onLeaving: onLeaving, quarantine: newQuarantine(log),
		budget: retrier.NewBudget(0),
	}
}

// SetRetryBudget sets how many retries each request adds to the budget.
func (d *Dispatcher) SetRetryBudget(ratio float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.SetRatio(ratio)
}

// Do makes attempts until one completes, maxEnded of them had an unknown outcome, the retry budget or the time is used up, or
// another attempt is not allowed.
//
// Errors: *RequestFailedError, or the error of a completed attempt.
func (d *Dispatcher) Do(ctx context.Context, call Call, try Try) error {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	d.countRequest()
	tally := outcome.Tally{}
	tried, ended := []string{}, 0
	parts := beginnings(call.Blocks)
	if call.request != "" {
		parts = append(parts, call.request)
	}
	for {
		if err := d.quarantine.check(parts); err != nil {
			return d.requestFailed(&tally, len(tried), err)
		}
		slot, endpoint, err := d.reserve(ctx, call, tried)
		if err != nil {
			return d.requestFailed(&tally, len(tried), err)
		}
		tried = append(tried, endpoint.Name)
		o, err := d.attempt(ctx, slot, endpoint, parts, try)
		tally.Add(o)
		if _, isCompleted := o.(outcome.Completed); isCompleted {
			return err
		}
		d.log.WithError(err).WithFields(logrus.Fields{"endpoint": endpoint.Name, "outcome": outcome.Name(o)}).Info("attempt failed")
		if _, isUnknown := o.(outcome.Unknown); isUnknown {
			ended++
		}
		if isFinal(err) || !call.IsRepeatable || ended == maxEnded || ctx.Err() != nil || !d.takeRetry() {
			return d.requestFailed(&tally, len(tried), err)
		}
	}
}

// isFinal reports whether another attempt would be of no use: the caller has disconnected, or another
// engine's answer diverged from the text already sent.
func isFinal(err error) bool {
	diverged := (*DivergedError)(nil)
	callerGone := sinkError{}
	return errors.As(err, &diverged) || errors.As(err, &callerGone)
}

func (d *Dispatcher) attempt(
	ctx context.Context, slot granter.Slot, e declarer.Endpoint, parts []string, try Try,
) (outcome.Outcome, error) {
	incarnation := d.quarantine.incarnation(e.Name)
	d.Counts.Attempts.Add(1)
	d.router.Handle(router.Sent{Endpoint: e.Name})
	o, report, err := try(ctx, Target{Attempt: slot.ID, Endpoint: e})
	_, isCompleted := o.(outcome.Completed)
	d.router.Handle(router.Ended{Endpoint: e.Name, IsFailed: !isCompleted && ctx.Err() == nil})
	d.reserver.Return(slot, report)
	_, isUnknown := o.(outcome.Unknown)
	switch {
	case len(parts) > 0 && isCompleted && err == nil:
		d.quarantine.completed(parts)
	case len(parts) > 0 && isUnknown:
		go d.quarantine.runConfirm(e, incarnation, parts, report.Tokens > 0)
	}
	return o, err
}

// reserve asks the candidates in turn; if all refuse, it returns the refusal with the shortest RetryAfter.
func (d *Dispatcher) reserve(ctx context.Context, call Call, tried []string) (granter.Slot, declarer.Endpoint, error) {
	var bestRefusal error = &NoEndpointError{Serves: call.Serves}
	shortest := time.Duration(1<<63 - 1)
	for _, name := range d.router.candidates(call, tried) {
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
			bestRefusal, shortest = err, refused.RetryAfter
		}
	}
	return granter.Slot{}, declarer.Endpoint{}, bestRefusal
}

// request returns the reservation for a call. The slot must be granted early enough for the answer to end by the call's
// deadline, at the preset's target gap between tokens; at most three quarters of the time left are kept for the answer.
func (d *Dispatcher) request(call Call, e declarer.Endpoint) granter.Request {
	timeLeft := time.Until(call.Deadline)
	answerTime := min(time.Duration(call.Tokens)*d.catalogue.OnlinePolicy().TokenGapTarget, timeLeft*3/4)
	return granter.Request{
		ID: uuid.NewString(), Endpoint: e.Name, Account: call.Account, Tokens: call.Tokens,
		Deadline: call.Deadline.Add(-answerTime), HoldUntil: call.Deadline,
	}
}

// countRequest counts a request and adds its share to the retry budget.
func (d *Dispatcher) countRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Counts.Requests.Add(1)
	d.budget.AddRequest()
}

// takeRetry takes a retry from the budget; it reports whether one was left.
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

func (d *Dispatcher) requestFailed(tally *outcome.Tally, attempts int, cause error) error {
	after := defaultRetryAfter
	if refused := (*granter.RefusedError)(nil); errors.As(cause, &refused) {
		after = refused.RetryAfter
	}
	if quarantined := (*QuarantinedError)(nil); errors.As(cause, &quarantined) {
		after = quarantined.Left
	}
	o := tally.Refuse(cause.Error(), after)
	return &RequestFailedError{Outcome: o, RetryAfter: after, Attempts: attempts, Cause: cause}
}
