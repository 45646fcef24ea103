package runner

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
)

// loopFeed keeps a small ring of items ready at each keeper, so that idle seconds find work at once.
func (r *Runner) loopFeed(ctx context.Context) {
	for wait(ctx, r.feedPoke, feedEvery) {
		r.retire(ctx)
		isHungry := false
		for _, e := range r.fleet.KeptEndpoints() {
			isHungry = r.feed(e) || isHungry
		}
		if isHungry {
			r.pokeClaim()
		}
	}
}

// pokeClaim asks for more segments unless every known job was found to have nothing free of late.
func (r *Runner) pokeClaim() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, j := range r.jobs {
		if now.After(r.restTill[j.ID]) {
			poke(r.claimPoke)
			return
		}
	}
}

// feed offers the endpoint's keeper as many items as it has room for and reports whether there were too few.
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
		r.granter.Tell(e.Name, keeper.BatchOffered{ID: it.id, Due: it.seg.job.Due, IsUrgent: it.isUrgent})
	}
	return false
}

// nextItem takes an item of the job with the least slack that the endpoint can serve.
func (r *Runner) nextItem(e declarer.Endpoint) (*item, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isEnding || time.Now().Before(r.paused[e.Name]) {
		return nil, false
	}
	for _, j := range r.jobs {
		if !slices.Contains(e.Models, j.Model) {
			continue
		}
		for _, seg := range r.held {
			if seg.job.ID != j.ID || seg.inCommit {
				continue
			}
			if index, ok := seg.core.Next(); ok {
				return r.newItem(seg, index, e, j.IsUrgent), true
			}
		}
	}
	return nil, false
}

func (r *Runner) newItem(seg *heldSegment, index int, e declarer.Endpoint, isUrgent bool) *item {
	r.budget.SetRatio(r.fleet.BatchRetryBudget())
	r.budget.Offer()
	it := &item{
		id: uuid.NewString(), runner: r, seg: seg, index: index, endpoint: e,
		deadline: r.fleet.BatchPolicy().ItemDeadline, isUrgent: isUrgent,
	}
	r.items[it.id] = it
	return it
}
