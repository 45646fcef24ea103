package segmentrunner

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/batcher"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/forwarder"
)

var (
	errSuspended = errors.New("batch item suspended")
	errDropped   = errors.New("segment of the batch item dropped")
)

// item is a batch item that was offered to a slot allocator; its fields after stream are guarded by the runner's lock.
type item struct {
	id       string
	runner   *Runner
	seg      *heldSegment
	index    int
	endpoint declarer.Endpoint
	// timeLimit is the maximum time of one run, from a start or resumption to the end or suspension.
	timeLimit time.Duration
	isUrgent  bool
	stream    *forwarder.Stream

	shouldRun bool
	isRunning bool
	isDropped bool
	interrupt context.CancelCauseFunc
}

// StartItem starts the item, or resumes it after SuspendItem; it gives the slot of a removed or dropped item back.
func (r *Runner) StartItem(endpoint, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	it, ok := r.items[id]
	if !ok || it.isDropped {
		r.granter.Submit(endpoint, allocator.BatchEnded{ID: id})
		return
	}
	it.shouldRun = true
	if !it.isRunning {
		it.isRunning = true
		r.running.Add(1)
		go it.run()
	}
}

// SuspendItem suspends the item at once, keeping its tokens.
func (r *Runner) SuspendItem(_, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if it, ok := r.items[id]; ok {
		it.suspend()
	}
}

// suspend interrupts the item until it is started again; it is called with the lock held.
func (it *item) suspend() {
	it.shouldRun = false
	if it.interrupt != nil {
		it.interrupt(errSuspended)
	}
}

// withdraw suspends the item for good and frees its slot; it is called with the lock held.
func (it *item) withdraw() {
	it.isDropped = true
	it.suspend()
	if !it.isRunning {
		it.remove()
	}
}

// cancel ends the item without a result; it is called with the lock held.
func (it *item) cancel() {
	it.isDropped = true
	it.shouldRun = false
	if it.interrupt != nil {
		it.interrupt(errDropped)
	}
	if !it.isRunning {
		it.remove()
	}
}

// remove removes the item and frees its slot; it is called with the lock held.
func (it *item) remove() {
	delete(it.runner.items, it.id)
	it.runner.granter.Submit(it.endpoint.Name, allocator.BatchEnded{ID: it.id})
}

// run runs the item until it ends, is suspended or is dropped.
func (it *item) run() {
	defer it.runner.running.Done()
	for {
		ctx, ok := it.begin()
		if !ok {
			return
		}
		o, err := it.stream.Run(ctx, func(forwarder.Piece) error { return nil })
		cause := context.Cause(ctx)
		switch {
		case errors.Is(cause, errDropped):
			it.stream.Stop(false)
		case err != nil && errors.Is(cause, errSuspended):
			it.stream.Stop(true)
		default:
			it.end(o, err)
			return
		}
	}
}

// begin returns the context of the next run, or marks the item as not running and returns false if it should not run.
func (it *item) begin() (context.Context, bool) {
	r := it.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	if !it.shouldRun {
		it.isRunning = false
		if it.isDropped {
			it.remove()
		}
		return nil, false
	}
	if it.stream == nil {
		body := it.seg.lines[it.index].Body
		it.stream = forwarder.NewStream(r.pools, r.pools.Batch, it.id, it.endpoint.Address, asStreamed(body))
	}
	ctx, cancel := context.WithTimeout(context.Background(), it.timeLimit)
	ctx, it.interrupt = context.WithCancelCause(ctx)
	context.AfterFunc(ctx, cancel)
	return ctx, true
}

// end records how the item's attempt ended and frees its slot at the allocator.
func (it *item) end(o outcome.Outcome, err error) {
	r := it.runner
	report := it.stream.Report(err != nil)
	if err != nil {
		go it.stream.Stop(false)
	}
	r.mu.Lock()
	it.isRunning = false
	delete(r.items, it.id)
	it.interrupt(nil)
	it.record(o, err)
	if it.seg.tracker.IsDone() && r.held[it.seg.key()] == it.seg {
		r.queueCommit(it.seg)
	}
	r.mu.Unlock()
	r.granter.Submit(it.endpoint.Name, allocator.BatchEnded{ID: it.id, Report: report})
	notify(r.feedSignal)
}

// record passes the attempt's result or failure to the segment; it is called with the lock held.
func (it *item) record(o outcome.Outcome, err error) {
	r := it.runner
	result := batcher.ItemResult{Index: it.index, ID: it.seg.lines[it.index].CustomID, Status: http.StatusOK}
	rejected := (*forwarder.RejectedError)(nil)
	switch {
	case err == nil:
		result.Body, _ = json.Marshal(it.stream.Answer.Completion("chatcmpl-" + it.id))
		r.Counts.ItemsDone.Add(1)
		it.seg.tracker.Finish(result)
	case errors.As(err, &rejected):
		result.Status, result.Error = rejected.Status, rejected.Text
		r.Counts.ItemsFailed.Add(1)
		it.seg.tracker.Finish(result)
	default:
		it.fail(o, err, result)
	}
}

// fail puts the item back, or ends it with the error after its last attempt. It pauses the endpoint if the retry budget is
// used up, or if the attempt did not run at all, which is not the fault of the item. It is called with the lock held.
func (it *item) fail(o outcome.Outcome, err error, result batcher.ItemResult) {
	r := it.runner
	_, isBlameless := o.(outcome.NotRun)
	result.Status, result.Error = http.StatusBadGateway, err.Error()
	r.Counts.ItemsRetried.Add(1)
	it.seg.tracker.Fail(result, isBlameless)
	if isBlameless || !r.budget.Take() {
		r.pausedUntil[it.endpoint.Name] = time.Now().Add(endpointPause)
	}
	r.log.WithError(err).WithField("item", result.ID).WithField("endpoint", it.endpoint.Name).Info("attempt of batch item failed")
}

// asStreamed returns the body with stream and usage set regardless of their values in it, or the body itself if it can't be
// parsed.
func asStreamed(body []byte) []byte {
	streamed, err := forwarder.AsStreamed(body)
	if err != nil {
		return body
	}
	return streamed
}
