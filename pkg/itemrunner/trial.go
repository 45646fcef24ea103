package itemrunner

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// Isolator knows the parts of prompts that are quarantined, and when items with them may be sent as trials.
type Isolator interface {
	// HoldOf returns until when an item with the parts waits here.
	HoldOf(parts []string) quarantiner.Hold
	// BeginTrial records that an item is sent as a trial of its quarantined parts, and returns when.
	BeginTrial(item string, parts []string) time.Time
	// AbortTrial records that the trial which began at the time said nothing of the parts.
	AbortTrial(parts []string, began time.Time)
	// Completed records that an item with the parts was completed.
	Completed(parts []string)
	// BrokeOff records that an item with the parts broke off at the endpoint; strike says what is known of its answer.
	BrokeOff(e registrar.Endpoint, parts []string, strike quarantiner.Strike)
	// Outlived records that an item with the parts has made progress since it had that many events of its answer.
	Outlived(parts []string, events int)
}

// trial is a run in spite of a quarantine.
type trial struct {
	parts []string
	began time.Time
	// hasBroken says that the run broke off at its endpoint, so that the trial may have said something.
	hasBroken bool
}

// witnesses returns the parts against which the end of the run's endpoint says something: that of a trial of an item's own part
// says nothing against the parts that it shares.
func (run *itemRun) witnesses(all []string) []string {
	if run.trial != nil && quarantiner.IsRequest(run.trial.parts[0]) {
		return run.trial.parts
	}
	return all
}

// beginTrial makes the task's run, which has just been started, a trial of the parts that hold the item; the lock is held.
func (r *Runner) beginTrial(t *task, h quarantiner.Hold) {
	t.run.trial = &trial{parts: h.Parts, began: r.isolator.BeginTrial(t.item.ID, h.Parts)}
}

// endTrial lets the next trial of the parts begin sooner if the run, which failed, said nothing of them; the lock is held.
func (r *Runner) endTrial(run *itemRun) {
	if run.trial != nil && !run.trial.hasBroken {
		r.isolator.AbortTrial(run.trial.parts, run.trial.began)
	}
}

// candidate is a waiting item with its route, and what holds it.
type candidate struct {
	*task
	route registrar.Route
	hold  quarantiner.Hold
}

// candidates returns the waiting items that have a batch route, in the order in which to start them. Those that may be sent as
// trials come first: each of them may release others. Of these, the ones under which the fewest endpoints ended, and of them
// those that have come furthest, are the best witnesses. The lock is held.
func (r *Runner) candidates(now time.Time, reg *registrar.Registry) []candidate {
	var trials, others []candidate
	for _, t := range r.boundFirst(r.waiting(now), reg) {
		route, ok := t.job.route(reg)
		switch {
		case route.Kind == registrar.KindUnsupported:
			r.waits.note(now, t, wait{cause: routeUnsupported})
			continue
		case !ok || route.Kind != registrar.KindBatch:
			r.waits.note(now, t, wait{cause: routeUnknown})
			r.abandonIfGone(t, reg)
			continue
		}
		c := candidate{t, route, r.isolator.HoldOf(t.parts)}
		if c.hold.Part != "" && !c.hold.IsHeld(now) {
			trials = append(trials, c)
		} else {
			others = append(others, c)
		}
	}
	slices.SortStableFunc(trials, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.hold.Ends, b.hold.Ends), cmp.Compare(b.sequence.Last(), a.sequence.Last()))
	})
	return append(trials, others...)
}

// triedParts holds the parts of which an item is being tried since the holds were read.
type triedParts map[string]bool

func (p triedParts) add(h quarantiner.Hold) {
	for _, part := range h.Parts {
		p[part] = true
	}
}

func (p triedParts) hasAny(h quarantiner.Hold) bool {
	return slices.ContainsFunc(h.Parts, func(part string) bool { return p[part] })
}

// isHeld reports whether the candidate has to wait for a trial of its parts; the lock is held.
func (r *Runner) isHeld(now time.Time, c candidate, tried triedParts) bool {
	isHeld := c.hold.IsHeld(now)
	if !isHeld && !tried.hasAny(c.hold) {
		return false
	}
	r.waits.note(now, c.task, wait{cause: quarantinedPart, part: c.hold.Part, due: c.hold.Due})
	if isHeld {
		r.abandonIfOverdue(c.task, c.route, c.hold.Part, now)
	}
	return true
}
