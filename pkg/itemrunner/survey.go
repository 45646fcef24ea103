package itemrunner

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// surveyWaits counts the waiting items every surveyInterval, and logs the waits that have become long or ended; the lock is held.
func (r *Runner) surveyWaits(now time.Time) {
	if r.waits.beginSurvey(now) {
		r.countWaits(now)
		r.waits.endSurvey(now)
	}
	for _, line := range r.waits.take() {
		r.logWait(line)
	}
}

// countWaits counts the items that wait; the lock is held.
func (r *Runner) countWaits(now time.Time) {
	atVM := r.waitAtVM()
	for id, j := range r.jobs {
		if r.manager.IsOver(id) {
			continue
		}
		kept, isHolder := r.manager.KeptItems(id)
		for i, t := range j.tasks {
			switch {
			case t.run != nil:
			case t.isOver || r.manager.IsFinished(id, i):
				r.waits.end(now, t, nextResult)
			case !isHolder && !slices.Contains(kept, i):
				r.waits.end(now, t, nextGone)
			default:
				r.noteUnseen(now, t, atVM)
				r.waits.count(now, t)
			}
		}
	}
}

// waitAtVM returns what keeps this VM from starting any items; empty if nothing does. The lock is held.
func (r *Runner) waitAtVM() waitCause {
	switch {
	case r.isLeaving:
		return vmLeaves
	case r.isPartitioned:
		return vmPartitioned
	case r.registry().Config == nil:
		return noConfiguration
	default:
		return ""
	}
}

// noteUnseen records what an item waits for that startItems does not see; the lock is held.
func (r *Runner) noteUnseen(now time.Time, t *task, atVM waitCause) {
	switch {
	case atVM != "":
		r.waits.note(now, t, wait{cause: atVM})
	case !t.isHere:
		r.waits.note(now, t, wait{cause: handover})
	case now.Before(t.notBefore):
		r.waits.note(now, t, wait{cause: pauseAfterRun, due: t.notBefore})
	case t.wait.cause == "" || t.wait.notedAt.Before(r.waits.surveyedAt):
		r.waits.note(now, t, wait{cause: notPlanned})
	}
}

// logWait logs the begin of a wait, or its end; the lock is held.
func (r *Runner) logWait(l waitLine) {
	fields := logrus.Fields{
		"job": l.job.id, "item": l.item.ID, "cause": string(l.cause), "waited": l.waited.Milliseconds(),
		"idle": l.idle.Milliseconds(), "dueIn": time.Until(l.job.due).Milliseconds(), "lastEvent": l.sequence.Last(),
		"unlogged": l.unlogged,
	}
	switch l.cause {
	case quarantinedPart:
		fields["part"] = l.part
	case softwareVersion:
		fields["service"], fields["softwareVersion"] = l.service, r.versionOf(l.service, l.software)
	case noSlot:
		fields["service"] = l.service
	}
	if l.next != "" {
		fields["next"] = l.next
		r.log.WithFields(fields).Info("wait of batch item ended")
		return
	}
	switch l.cause {
	case quarantinedPart:
		fields["trialIn"] = time.Until(l.wait.due).Milliseconds()
	case pauseAfterRun:
		fields["retryIn"] = time.Until(l.wait.due).Milliseconds()
	}
	r.log.WithFields(fields).Info("batch item waits")
}

// versionOf returns the name of a software version of the service; empty if it no longer serves.
func (r *Runner) versionOf(service string, software registrar.Software) string {
	for _, e := range r.registry().EndpointsOf(service) {
		if e.Software() == software {
			return e.SoftwareVersion
		}
	}
	return ""
}

// WaitingItems returns the number of items that wait, by what they wait for.
func (r *Runner) WaitingItems() map[string]int64 {
	return r.waitsBy(func(c waitCount) int64 { return c.items })
}

// OldestWaits returns, by what items wait for, the ms since the first of them had its last run or came to this VM; 0 if there is
// none.
func (r *Runner) OldestWaits() map[string]int64 {
	return r.waitsBy(func(c waitCount) int64 {
		if c.items == 0 {
			return 0
		}
		return time.Since(c.oldest).Milliseconds()
	})
}

func (r *Runner) waitsBy(value func(waitCount) int64) map[string]int64 {
	r.mu.Lock()
	counts := maps.Clone(r.waits.counts)
	r.mu.Unlock()
	values := map[string]int64{}
	for _, cause := range waitCauses {
		values[string(cause)] = value(counts[cause])
	}
	return values
}
