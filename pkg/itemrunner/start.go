package itemrunner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
)

// lateUrgency is the time until due that the balancer receives for items that can no longer meet their due time.
const lateUrgency = time.Minute

// startItems starts waiting items, in the order of the plan, in the slots that were offered to them; the lock is held.
func (r *Runner) startItems(ctx context.Context, now time.Time) {
	reg := r.registry()
	if reg.Config == nil {
		return
	}
	r.planItems(now)
	waiting, boundTo := map[string][]time.Time{}, map[string][]registrar.Software{}
	hasRoom := r.hasRoomForItems()
	tried := triedParts{}
	for _, c := range r.candidates(now, reg) {
		t, route := c.task, c.route
		if r.isHeld(now, c, tried) || r.abandonIfRejected(t, route, now) {
			continue
		}
		if !hasRoom {
			r.waits.note(now, t, wait{cause: noOutputRoom})
			continue
		}
		service := route.ServiceFor(t.item.ID)
		served := reg.SoftwareOf(service)
		if r.balancer.OfferCount(service) > 0 && r.startItem(ctx, now, t, route, service, served) {
			r.waits.end(now, t, nextRun)
			if c.hold.Part != "" {
				r.beginTrial(t, c.hold)
				tried.add(c.hold)
			}
			continue
		}
		due := t.job.due
		if t.isLate {
			due = now.Add(lateUrgency)
		}
		waiting[service] = append(waiting[service], due)
		only := continuer.BoundTo(t.begun, served)
		r.waits.note(now, t, slotWait(service, only))
		if bound, ok := only.Get(); ok {
			// Missing entries before this one are those of items that any version may run.
			software := make([]registrar.Software, len(waiting[service]))
			copy(software, boundTo[service])
			software[len(software)-1] = bound
			boundTo[service] = software
		}
	}
	r.balancer.SetBound(boundTo)
	r.balancer.SetWaiting(waiting)
}

// boundFirst returns the items with those first that only one of several software versions may run, so that no other item takes a
// slot that was offered to them; the lock is held.
func (r *Runner) boundFirst(list []*task, reg *registrar.Registry) []*task {
	if !reg.IsMixed() {
		return list
	}
	var bound, free []*task
	for _, t := range list {
		route, ok := t.job.route(reg)
		if ok && route.Kind == registrar.KindBatch {
			served := reg.SoftwareOf(route.ServiceFor(t.item.ID))
			if _, ok := continuer.BoundTo(t.begun, served).Get(); ok {
				bound = append(bound, t)
				continue
			}
		}
		free = append(free, t)
	}
	return append(bound, free...)
}

// startItem starts the item in a slot that was offered to the service's items; false if there is none where it may go on. The
// lock is held.
func (r *Runner) startItem(
	ctx context.Context, now time.Time, t *task, route registrar.Route, service string, served []registrar.Software,
) bool {
	waited := now.Sub(t.idleSince)
	if software, ok := t.begun.Get(); ok && software == continuer.Ambiguous {
		// The output is from checkpoints of a build that did not record the version.
		only, isKnown := r.onlySoftware(service, t.idleSince)
		if !isKnown && waited < continuer.MaxAwait {
			return false
		}
		if _, ok := only.Get(); ok {
			t.begun = only
		}
	}
	if !t.sequence.CanResume() {
		// No id tells the endpoint where the output ended.
		t.discardOutput()
	}
	e, ticket, ok := r.balancer.TakeOfferAt(service, func(e registrar.Endpoint) bool {
		return continuer.At(t.begun, e, served, waited) != continuer.Await
	})
	if !ok {
		return false
	}
	if continuer.At(t.begun, e, served, waited) == continuer.Restart {
		r.log.WithFields(logrus.Fields{
			"job": t.job.id, "item": t.item.ID, "lastEvent": t.sequence.Last(), "endpoint": e.ID, "softwareVersion": e.SoftwareVersion,
		}).Info("output of item discarded: no slot at the software version that began it")
		t.discardOutput()
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	t.run = &itemRun{endpoint: e, ticket: ticket, cancel: cancel, started: now, firstEvent: continuer.NoEvent}
	go r.runItem(runCtx, t, t.run, route)
	return true
}

// waiting returns the items of the plan that may be started now; the lock is held.
func (r *Runner) waiting(now time.Time) []*task {
	var waiting []*task
	for _, t := range r.plan {
		if t.run == nil && t.isHere && !t.isOver && !now.Before(t.notBefore) && !r.manager.IsFinished(t.job.id, t.index) {
			waiting = append(waiting, t)
		}
	}
	return waiting
}

// abandonIfGone abandons an item whose route the configuration no longer has. It waits until this VM has the configuration
// that allowed the job.
func (r *Runner) abandonIfGone(t *task, reg *registrar.Registry) {
	if reg.Config.Version < r.manager.ConfigOf(t.job.id) {
		return
	}
	r.abandon(t, logrus.Fields{"config": reg.Config.Version}, "its route is no longer configured")
}

// abandonIfOverdue abandons an item with a quarantined part once its job is as old as the route allows; until then it waits.
func (r *Runner) abandonIfOverdue(t *task, route registrar.Route, part string, now time.Time) {
	if r.isOverdue(t, route, now) {
		r.abandon(t, logrus.Fields{"part": part, "after": route.AbandonAfter.String()}, "a part of its prompt crashes endpoints")
	}
}

// isOverdue reports whether the item's job is as old as the route allows.
func (r *Runner) isOverdue(t *task, route registrar.Route, now time.Time) bool {
	return route.AbandonAfter > 0 && r.manager.KnownFor(t.job.id, now) >= route.AbandonAfter
}

// abandon lists the item as abandoned and logs why.
func (r *Runner) abandon(t *task, fields logrus.Fields, cause string) {
	r.log.WithFields(fields).WithFields(logrus.Fields{"job": t.job.id, "item": t.item.ID}).Warn("item abandoned: " + cause)
	r.finish(t, jobmanager.Result{ID: t.item.ID, State: jobrecorder.Abandoned})
}
