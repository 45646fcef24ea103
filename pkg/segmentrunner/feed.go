package segmentrunner

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
)

// loopFeed keeps a small queue of items ready at each slot allocator, so that a slot that becomes idle gets an item at once.
func (r *Runner) loopFeed(ctx context.Context) {
	for waitFor(ctx, r.feedSignal, feedInterval) {
		r.retire(ctx)
		hasTooFew := false
		for _, e := range r.fleet.AllocatedEndpoints() {
			hasTooFew = r.feed(e) || hasTooFew
		}
		if hasTooFew {
			r.requestClaim()
		}
	}
}

// requestClaim triggers a claim of further segments, unless all known jobs are skipped at present.
func (r *Runner) requestClaim() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, j := range r.jobs {
		if now.After(r.skipUntil[j.ID]) {
			notify(r.claimSignal)
			return
		}
	}
}

// feed offers the endpoint's allocator as many items as it has room for and reports whether there were too few.
func (r *Runner) feed(e declarer.Endpoint) bool {
	if len(e.Models) == 0 {
		return false
	}
	room := r.granter.BatchRoom(e.Name)
	for range room {
		it, ok := r.nextItem(e)
		if !ok {
			return true
		}
		r.granter.Submit(e.Name, allocator.BatchOffered{ID: it.id, Due: it.seg.job.Due, IsUrgent: it.isUrgent})
	}
	return false
}

// nextItem takes a waiting item of the job with the least slack among those that the endpoint can serve.
func (r *Runner) nextItem(e declarer.Endpoint) (*item, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isStopping || time.Now().Before(r.pausedUntil[e.Name]) {
		return nil, false
	}
	for _, j := range r.jobs {
		if !slices.Contains(e.Models, j.Model) {
			continue
		}
		for _, seg := range r.held {
			if seg.job.ID != j.ID || seg.isCommitting {
				continue
			}
			if index, ok := seg.tracker.Next(); ok {
				return r.newItem(seg, index, e, j.IsUrgent), true
			}
		}
	}
	return nil, false
}

// newItem registers an item of the segment for the endpoint; it is called with the lock held.
func (r *Runner) newItem(seg *heldSegment, index int, e declarer.Endpoint, isUrgent bool) *item {
	r.budget.SetRatio(r.fleet.BatchRetryBudget())
	r.budget.AddRequest()
	it := &item{
		id: uuid.NewString(), runner: r, seg: seg, index: index, endpoint: e,
		timeLimit: r.fleet.BatchPolicy().ItemDeadline, isUrgent: isUrgent,
	}
	r.items[it.id] = it
	return it
}
