package itemrunner

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/inspector"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
	"github.com/dogwoodledge/dogwoodledge/pkg/recoverer"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
)

const (
	// stallTimeout is the maximum time without an event from an endpoint; it is well over the pause after which a stream counts
	// as late.
	stallTimeout = 2 * time.Second
	// maxOutputBytes bounds the output of an item: a longer result could not be read in one answer, and an endpoint that sends
	// events without end would fill the memory.
	maxOutputBytes = 1 << 20
	// maxErrorBody is the maximum number of bytes that are read of an error response.
	maxErrorBody = 64 << 10
)

// The causes for which this VM itself ends a run.
var (
	errNotNeeded = errors.New("item need not run on this VM")
	errPreempted = errors.New("item preempted by online requests")
	errStalled   = errors.New("endpoint sent no event within the stall timeout")
	// errPartitioned ends the runs of a VM that reaches no endpoint.
	errPartitioned = errors.New("this VM is partitioned from the endpoints")
)

// errNoEvent says that an answer is complete and brought nothing, though each item has at least one event.
var errNoEvent = errors.New("the answer has no event")

// errNoRest says that an endpoint which was asked for the rest of an output sent nothing, and marked no end: the output may be
// whole or not, and asking again won't tell.
var errNoRest = errors.New("the rest of the output has no event and no marked end")

// OutputTooLongError says that an item's output would have more than Limit bytes with the event. It is discarded: with it, no run
// could complete the item.
type OutputTooLongError struct {
	Limit int
	Event int64
}

func (e *OutputTooLongError) Error() string {
	return "output of more than " + strconv.Itoa(e.Limit) + " bytes at event " + strconv.FormatInt(e.Event, 10) + ": discarded"
}

// AnswerError says that an endpoint's response carries no result; Detail is the start of its body, or what is wrong with it.
type AnswerError struct {
	Endpoint string
	Status   int
	// IsSigned says that the endpoint answered this item; of an answer that isn't, the status says nothing about it.
	IsSigned bool
	Detail   string
}

func (e *AnswerError) Error() string {
	return "endpoint " + e.Endpoint + " answered status " + strconv.Itoa(e.Status) + ": " + e.Detail
}

// runItem runs the item at an endpoint and records how the run ended.
func (r *Runner) runItem(ctx context.Context, t *task, run *itemRun, route registrar.Route) {
	spanCtx, span := otel.Tracer("worker").Start(ctx, "item run "+run.endpoint.ID)
	err := recoverer.Call(func() error { return r.exchange(spanCtx, t, run) })
	span.End()
	// The cause must be read before cancel, which sets a cause itself.
	cause := context.Cause(ctx)
	run.cancel(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	isCurrent := t.run == run
	if isCurrent {
		t.run, t.idleSince = nil, time.Now()
		t.runTime += time.Since(run.started)
	}
	r.reportPanic("item run", t.job.id, err)
	outcome := r.recordEnd(t, run, route, err, cause, isCurrent)
	if err != nil {
		r.endTrial(run)
	}
	r.metrics.ItemRun(outcome)
	fields := logrus.Fields{
		"job": t.job.id, "item": t.item.ID, "endpoint": run.endpoint.ID, "outcome": outcome,
		"firstEvent": run.firstEvent, "lastEvent": t.sequence.Last(), "endsAtClose": run.endsAtClose,
		"took": time.Since(run.started).Milliseconds(), "dueIn": time.Until(t.job.due).Milliseconds(),
	}
	if err != nil {
		fields["cause"] = err.Error()
	}
	r.log.WithFields(fields).Info("item run ended")
}

// recordEnd records the end of a run and returns the name of its outcome; the lock is held.
func (r *Runner) recordEnd(
	t *task, run *itemRun, route registrar.Route, err, cause error, isCurrent bool,
) string {
	if err == nil {
		r.balancer.End(run.ticket, placer.EndedComplete)
		if isCurrent {
			r.estimator.ObserveCompletion(t.item.Tokens, t.runTime)
			r.finish(t, jobmanager.Result{ID: t.item.ID, State: jobrecorder.Succeeded, Output: t.output})
		}
		return "whole"
	}
	if !isCurrent || errors.Is(cause, errPreempted) || errors.Is(cause, errNotNeeded) || errors.Is(err, errNotNeeded) ||
		errors.Is(err, errNoRoom) {
		r.balancer.End(run.ticket, placer.EndedLocally)
		return "stopped"
	}
	if panicked := (*recoverer.PanicError)(nil); errors.As(err, &panicked) {
		t.discardOutput()
		t.notBefore = time.Now().Add(panicPause)
		r.balancer.End(run.ticket, placer.EndedLocally)
		return "panicked"
	}
	if isUnsendable(err) {
		r.balancer.End(run.ticket, placer.EndedLocally)
		r.finish(t, jobmanager.Result{ID: t.item.ID, State: jobrecorder.Abandoned})
		return "unsendable"
	}
	if tooLong := (*OutputTooLongError)(nil); errors.Is(err, errNoRest) || errors.As(err, &tooLong) {
		t.discardOutput()
	}
	how, outcome := placer.EndedFailed, "broken"
	t.notBefore = time.Now().Add(retryPause)
	if answer := (*AnswerError)(nil); dialer.IsRejection(err) {
		how, outcome = placer.EndedRejected, "rejected"
		t.recordRejection(time.Now(), run.endpoint)
	} else if errors.As(err, &answer) {
		switch {
		case answer.IsSigned && answer.Status == http.StatusUnprocessableEntity:
			how, outcome = placer.EndedComplete, "impossible"
			r.finish(t, jobmanager.Result{ID: t.item.ID, State: jobrecorder.Abandoned})
		case answer.IsSigned && answer.Status == http.StatusInternalServerError:
			how, outcome = placer.EndedComplete, "failed"
			if r.manager.Fail(r.ctx, t.job.id, t.index) >= route.MaxAttempts {
				r.finish(t, jobmanager.Result{ID: t.item.ID, State: jobrecorder.Abandoned})
			}
		case slices.Contains(refusals, answer.Status):
			how, outcome = placer.EndedFull, "refused"
		case answer.isRejection():
			how, outcome = placer.EndedRejected, "rejected"
			t.recordRejection(time.Now(), run.endpoint)
		}
	} else if r.isPartitioned {
		// The break says nothing about the endpoint.
		how, outcome = placer.EndedLocally, "partitioned"
	}
	r.balancer.End(run.ticket, how)
	return outcome
}

// refusals are the statuses by which an endpoint says that it has no room, or is another one.
var refusals = []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusTooManyRequests}

// exchange sends the item and reads its events; it returns nil once the output is complete.
func (r *Runner) exchange(ctx context.Context, t *task, run *itemRun) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, err := r.pool.Get(ctx, run.endpoint.ID, run.endpoint.Address, t.item.ID)
	if err != nil {
		return err
	}
	if !r.registry().IsUsable(run.endpoint) || ctx.Err() != nil || r.manager.IsOver(t.job.id) {
		_ = conn.Close()
		return errNotNeeded
	}
	stall := time.AfterFunc(stallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
	x, err := r.pool.Do(ctx, conn, r.outgoing(t, run))
	if err != nil {
		if !isUnsendable(err) && !dialer.IsRejection(err) {
			r.recordBreak(ctx, t, run, false)
		}
		return err
	}
	defer x.Close()
	run.endsAtClose = x.EndsAtClose()
	if x.Response.Header.Get(r.headers.Leaving) != "" {
		r.onLeaving(run.endpoint)
	}
	r.balancer.ObserveAnswer(
		run.ticket, r.headers.RateLimitOf(x.Response.Header), r.headers.IsSigned(x.Response, t.item.ID),
	)
	if err := r.checkResponse(x, t, run); err != nil {
		return err
	}
	return r.readOutput(ctx, x, t, run, stall)
}

// readOutput reads the events of an answer into the item's output; it returns nil once the output is complete. It resets stall at
// each event.
func (r *Runner) readOutput(ctx context.Context, x *dialer.Exchange, t *task, run *itemRun, stall *time.Timer) error {
	events := relayer.NewEventReader(r.confirmer.BodyOf(ctx, x, run.endpoint), r.bodies)
	defer events.Close()
	for hasFirstEvent := false; ; {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && !hasFirstEvent {
			err = errorOfEmpty(x, run)
		}
		if errors.Is(err, io.EOF) {
			r.isolator.Completed(t.parts)
			return nil
		}
		if err != nil {
			r.recordBreak(ctx, t, run, hasFirstEvent)
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			return err
		}
		if !e.IsProgress() {
			continue
		}
		stall.Reset(stallTimeout)
		if !hasFirstEvent {
			hasFirstEvent = true
			r.balancer.FirstByte(run.ticket, true)
			r.blameRejecters(t)
		}
		if err := r.appendEvent(t, run, e); err != nil {
			return err
		}
		r.recordProgress(t, run, e)
	}
}

// errorOfEmpty returns the error of an answer that ended without an event: io.EOF if it is the rest of a complete output.
func errorOfEmpty(x *dialer.Exchange, run *itemRun) error {
	switch {
	case run.isResumed && x.EndsAtClose():
		return errNoRest
	case run.isResumed:
		return io.EOF
	case x.EndsAtClose():
		return io.ErrUnexpectedEOF
	default:
		return errNoEvent
	}
}

// outgoing returns the request for the item; if events are present, it asks the endpoint to resume after the last one.
func (r *Runner) outgoing(t *task, run *itemRun) dialer.Request {
	h := inspector.Forwarded(t.item.Header)
	hasAccounts := r.registry().Config.HasAccounts()
	h[r.headers.RequestID] = []string{t.item.ID}
	h[r.headers.ExpectInstance] = []string{run.endpoint.ID}
	r.mu.Lock()
	if hasAccounts || t.job.account != "" {
		r.headers.SetAccount(h, t.job.account)
	}
	if t.run == run {
		t.sequence.Begin()
	}
	if last := t.sequence.Last(); last != continuer.NoEvent {
		h[r.headers.LastEventID] = []string{strconv.FormatInt(last, 10)}
		run.isResumed = true
	}
	r.mu.Unlock()
	return dialer.Request{
		Method: http.MethodPost, Target: t.item.Path, Host: t.job.host, Header: h, Body: t.item.Body,
		IDHeader: r.headers.RequestID, ID: t.item.ID,
	}
}

// checkResponse returns an *AnswerError unless the response has status 200 and is signed for the item.
func (r *Runner) checkResponse(x *dialer.Exchange, t *task, run *itemRun) error {
	res := x.Response
	isSigned := r.headers.IsSigned(res, t.item.ID)
	if res.StatusCode == http.StatusOK {
		if !isSigned {
			return &AnswerError{Endpoint: run.endpoint.ID, Status: res.StatusCode, Detail: "not signed for this item"}
		}
		if kind := relayer.MediaTypeOf(res.Header); kind != "" && kind != eventStream {
			return &AnswerError{
				Endpoint: run.endpoint.ID, Status: res.StatusCode,
				Detail: "type " + kind[:min(len(kind), maxDetail)] + " is no stream of events",
			}
		}
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(x, maxErrorBody))
	return &AnswerError{
		Endpoint: run.endpoint.ID, Status: res.StatusCode, IsSigned: isSigned, Detail: string(text[:min(len(text), maxDetail)]),
	}
}

// eventStream is the media type of an item's answer.
const eventStream = "text/event-stream"

// maxDetail is the maximum number of bytes of an error response that are put into an error.
const maxDetail = 100

// appendEvent appends an event to the item's output; it fails if the run is no longer current or an event is missing.
func (r *Runner) appendEvent(t *task, run *itemRun, e relayer.Event) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.run != run {
		return errNotNeeded
	}
	if run.firstEvent == continuer.NoEvent {
		run.firstEvent = e.ID
	}
	if len(t.output)+len(e.Data) > maxOutputBytes {
		return &OutputTooLongError{Limit: maxOutputBytes, Event: e.ID}
	}
	if !r.makeRoom(t, int64(len(e.Data))+1) {
		return errNoRoom
	}
	if last := t.sequence.Last(); e.ID != continuer.NoEvent && last != continuer.NoEvent && e.ID != last+1 {
		return &continuer.GapError{After: last, Event: e.ID}
	}
	if err := t.sequence.Add(e.ID); err != nil {
		return err
	}
	if _, hasBegun := t.begun.Get(); !hasBegun {
		t.begun = option.Some(run.endpoint.Software())
	}
	if before := len(t.output); e.Data != nil {
		if t.hasOutput {
			t.output = append(t.output, '\n')
		}
		t.output = append(t.output, e.Data...)
		r.outputBytes += int64(len(t.output) - before)
		t.hasOutput = true
	}
	return nil
}
