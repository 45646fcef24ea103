package worker

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
)

const (
	// stallTimeout is the maximum time without an event from an endpoint; it is well over the pause after which a stream counts as
	// late.
	stallTimeout = 2 * time.Second
	// maxErrorBody is the maximum number of bytes that are read of an error response.
	maxErrorBody = 64 << 10
)

// The causes for which this VM itself ends a run.
var (
	errNotNeeded = errors.New("item need not run on this VM")
	errPreempted = errors.New("item preempted by online requests")
	errStalled   = errors.New("endpoint sent no event within the stall timeout")
)

// AnswerError says that an endpoint's response carries no result; Detail is the start of its body, or what is wrong with it.
type AnswerError struct {
	Endpoint string
	Status   int
	Detail   string
}

func (e *AnswerError) Error() string {
	return "endpoint " + e.Endpoint + " answered status " + strconv.Itoa(e.Status) + ": " + e.Detail
}

// runItem runs the item at an endpoint and records how the run ended.
func (w *Worker) runItem(ctx context.Context, t *task, run *itemRun, route registrar.Route) {
	spanCtx, span := otel.Tracer("worker").Start(ctx, "item run "+run.endpoint.ID)
	err := w.exchange(spanCtx, t, run)
	span.End()
	// The cause must be read before cancel, which sets a cause itself.
	cause := context.Cause(ctx)
	run.cancel(nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	isCurrent := t.run == run
	if isCurrent {
		t.run = nil
		t.runTime += time.Since(run.started)
	}
	outcome := w.recordEnd(t, run, route, err, cause, isCurrent)
	w.metrics.ItemRun(outcome)
	fields := logrus.Fields{
		"job": t.job.id, "item": t.item.ID, "endpoint": run.endpoint.ID, "outcome": outcome,
		"lastEvent": t.lastEvent, "took": time.Since(run.started).Milliseconds(),
		"dueIn": time.Until(t.job.due).Milliseconds(),
	}
	if err != nil {
		fields["cause"] = err.Error()
	}
	w.log.WithFields(fields).Info("item run ended")
}

// recordEnd records the end of a run and returns the name of its outcome; the lock is held.
func (w *Worker) recordEnd(
	t *task, run *itemRun, route registrar.Route, err, cause error, isCurrent bool,
) string {
	if err == nil {
		w.balancer.End(run.ticket, placer.EndedComplete)
		if isCurrent {
			w.estimator.ObserveCompletion(t.item.Tokens, t.runTime)
			w.finish(t, jobmanager.Result{ID: t.item.ID, State: jobrecorder.Succeeded, Output: t.output})
		}
		return "whole"
	}
	if !isCurrent || errors.Is(cause, errPreempted) || errors.Is(cause, errNotNeeded) || errors.Is(err, errNotNeeded) {
		w.balancer.End(run.ticket, placer.EndedLocally)
		return "stopped"
	}
	how, outcome := placer.EndedFailed, "broken"
	t.notBefore = time.Now().Add(retryPause)
	if answer := (*AnswerError)(nil); errors.As(err, &answer) {
		switch answer.Status {
		case http.StatusUnprocessableEntity:
			how, outcome = placer.EndedComplete, "impossible"
			w.finish(t, jobmanager.Result{ID: t.item.ID, State: jobrecorder.Abandoned})
		case http.StatusInternalServerError:
			how, outcome = placer.EndedComplete, "failed"
			t.failures++
			if t.failures >= route.MaxAttempts {
				w.finish(t, jobmanager.Result{ID: t.item.ID, State: jobrecorder.Abandoned})
			}
		case http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
			how, outcome = placer.EndedFull, "refused"
		}
	}
	w.balancer.End(run.ticket, how)
	return outcome
}

// exchange sends the item and reads its events; it returns nil once the output is complete.
func (w *Worker) exchange(ctx context.Context, t *task, run *itemRun) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, err := w.pool.Get(ctx, run.endpoint.ID, run.endpoint.Address)
	if err != nil {
		return err
	}
	if !w.registry().IsUsable(run.endpoint) || ctx.Err() != nil || w.manager.IsOver(t.job.id) {
		_ = conn.Close()
		return errNotNeeded
	}
	stall := time.AfterFunc(stallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
	x, err := w.pool.Do(ctx, conn, w.outgoing(t, run))
	if err != nil {
		return err
	}
	defer x.Close()
	if err := w.checkResponse(x, t, run); err != nil {
		return err
	}
	events := relayer.NewEventReader(x)
	for hasFirstEvent := false; ; hasFirstEvent = true {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			return err
		}
		stall.Reset(stallTimeout)
		if !hasFirstEvent {
			w.balancer.FirstByte(run.ticket, true)
		}
		if err := w.appendEvent(t, run, e); err != nil {
			return err
		}
	}
}

// outgoing returns the request for the item; if events are present, it asks the endpoint to resume after the last one.
func (w *Worker) outgoing(t *task, run *itemRun) dialer.Request {
	h := t.item.Header.Clone()
	h[w.headers.RequestID] = []string{t.item.ID}
	h[w.headers.ExpectInstance] = []string{run.endpoint.ID}
	w.mu.Lock()
	if t.lastEvent >= 0 {
		h[w.headers.LastEventID] = []string{strconv.FormatInt(t.lastEvent, 10)}
	}
	w.mu.Unlock()
	return dialer.Request{
		Method: http.MethodPost, Target: t.item.Path, Host: t.job.host, Header: h, Body: t.item.Body,
		IDHeader: w.headers.RequestID, ID: t.item.ID,
	}
}

// checkResponse returns an *AnswerError unless the response has status 200 and is signed for the item.
func (w *Worker) checkResponse(x *dialer.Exchange, t *task, run *itemRun) error {
	res := x.Response
	if res.StatusCode == http.StatusOK {
		if !w.headers.IsSigned(res, t.item.ID) {
			return &AnswerError{Endpoint: run.endpoint.ID, Status: res.StatusCode, Detail: "not signed for this item"}
		}
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(x, maxErrorBody))
	return &AnswerError{Endpoint: run.endpoint.ID, Status: res.StatusCode, Detail: string(text[:min(len(text), maxDetail)])}
}

// maxDetail is the maximum number of bytes of an error response that are put into an error.
const maxDetail = 100

// appendEvent appends an event to the item's output; it fails if the run is no longer current or an event is missing.
func (w *Worker) appendEvent(t *task, run *itemRun, e relayer.Event) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.run != run {
		return errNotNeeded
	}
	if e.ID >= 0 && t.lastEvent >= 0 && e.ID != t.lastEvent+1 {
		return errors.Errorf("gap in the event stream: event %d follows event %d", e.ID, t.lastEvent)
	}
	if e.Data != nil {
		if t.hasOutput {
			t.output = append(t.output, '\n')
		}
		t.output = append(t.output, e.Data...)
		t.hasOutput = true
	}
	if e.ID >= 0 {
		t.lastEvent = e.ID
	}
	return nil
}
