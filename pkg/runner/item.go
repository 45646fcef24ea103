package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/batcher"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/forwarder"
)

var (
	errParked  = errors.New("item is parked")
	errDropped = errors.New("item's segment is dropped")
)

// item is one batch item offered to a keeper; its fields after stream are guarded by the runner's lock.
type item struct {
	id       string
	runner   *Runner
	seg      *heldSegment
	index    int
	endpoint declarer.Endpoint
	deadline time.Duration
	isUrgent bool
	stream   *forwarder.Stream

	isWanted  bool
	isRunning bool
	isDropped bool
	interrupt context.CancelCauseFunc
}

// StartItem runs the item, or takes it up again after ParkItem.
func (r *Runner) StartItem(_, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	it, ok := r.items[id]
	if !ok {
		return
	}
	it.isWanted = true
	if !it.isRunning {
		it.isRunning = true
		r.running.Add(1)
		go it.run()
	}
}

// ParkItem stops the item at once and keeps the tokens that it has.
func (r *Runner) ParkItem(_, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if it, ok := r.items[id]; ok {
		it.park()
	}
}

// park is called with the lock held.
func (it *item) park() {
	it.isWanted = false
	if it.interrupt != nil {
		it.interrupt(errParked)
	}
}

// cancel ends the item for good; it is called with the lock held.
func (it *item) cancel() {
	it.isDropped = true
	it.isWanted = false
	if it.interrupt != nil {
		it.interrupt(errDropped)
	}
	if !it.isRunning {
		it.forget()
	}
}

// forget is called with the lock held.
func (it *item) forget() {
	delete(it.runner.items, it.id)
	it.runner.granter.Tell(it.endpoint.Name, keeper.BatchEnded{ID: it.id})
}

// run runs the item until it ends or is parked.
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
		case err != nil && errors.Is(cause, errParked):
			it.stream.Stop(true)
		default:
			it.end(o, err)
			return
		}
	}
}

// begin reports whether the item is to run, and marks it as at rest when not.
func (it *item) begin() (context.Context, bool) {
	r := it.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	if !it.isWanted {
		it.isRunning = false
		if it.isDropped {
			it.forget()
		}
		return nil, false
	}
	if it.stream == nil {
		body := it.seg.lines[it.index].Body
		it.stream = forwarder.NewStream(r.pools, r.pools.Batch, it.id, it.endpoint.Address, asStreamed(body))
	}
	ctx, cancel := context.WithTimeout(context.Background(), it.deadline)
	ctx, it.interrupt = context.WithCancelCause(ctx)
	context.AfterFunc(ctx, cancel)
	return ctx, true
}

// end records how the item's attempt ended and tells the keeper.
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
	if it.seg.core.IsDone() && r.held[it.seg.key()] == it.seg {
		r.queueCommit(it.seg)
	}
	r.mu.Unlock()
	r.granter.Tell(it.endpoint.Name, keeper.BatchEnded{ID: it.id, Report: report})
	poke(r.feedPoke)
}

// record is called with the lock held.
func (it *item) record(o outcome.Outcome, err error) {
	r := it.runner
	result := batcher.ItemResult{Index: it.index, ID: it.seg.lines[it.index].CustomID, Status: http.StatusOK}
	rejected := (*forwarder.RejectedError)(nil)
	switch {
	case err == nil:
		result.Body, _ = json.Marshal(it.stream.Answer.Completion("chatcmpl-" + it.id))
		r.Counts.ItemsDone.Add(1)
		it.seg.core.Finish(result)
	case errors.As(err, &rejected):
		result.Status, result.Error = rejected.Status, rejected.Text
		r.Counts.ItemsFailed.Add(1)
		it.seg.core.Finish(result)
	default:
		it.fail(o, err, result)
	}
}

// fail puts the item back, and lets its endpoint rest when failures outrun the retry budget.
func (it *item) fail(o outcome.Outcome, err error, result batcher.ItemResult) {
	r := it.runner
	_, isBlameless := o.(outcome.NotRun)
	result.Status, result.Error = http.StatusBadGateway, err.Error()
	r.Counts.ItemsRetried.Add(1)
	it.seg.core.Fail(result, isBlameless)
	if isBlameless || !r.budget.Take() {
		r.paused[it.endpoint.Name] = time.Now().Add(endpointPause)
	}
	r.log.WithError(err).WithField("item", result.ID).WithField("endpoint", it.endpoint.Name).Info("item failed")
}

// asStreamed returns the body with stream and usage set, whatever the caller wrote there.
func asStreamed(body []byte) []byte {
	streamed, err := forwarder.AsStreamed(body)
	if err != nil {
		return body
	}
	return streamed
}
