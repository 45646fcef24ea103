package itemrunner

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const (
	// waitNotice is how long an item waits for one cause before a line says so; most waits take some ms.
	waitNotice = time.Second
	// surveyInterval is the minimum time between two counts of the waiting items.
	surveyInterval = 250 * time.Millisecond
	// maxWaitLines is the maximum number of lines a second for one cause.
	maxWaitLines = 10
)

// waitCause says what an item waits for, in the log and as a label of the gauges.
type waitCause string

const (
	quarantinedPart  waitCause = "quarantined part"
	softwareVersion  waitCause = "software version"
	noSlot           waitCause = "no slot"
	noOutputRoom     waitCause = "no room for outputs"
	pauseAfterRun    waitCause = "pause after a run"
	vmLeaves         waitCause = "VM leaves"
	vmPartitioned    waitCause = "VM partitioned"
	noConfiguration  waitCause = "no configuration"
	routeUnknown     waitCause = "route not configured"
	routeUnsupported waitCause = "route not supported"
	handover         waitCause = "handover"
	notPlanned       waitCause = "not planned"
)

var waitCauses = []waitCause{
	quarantinedPart, softwareVersion, noSlot, noOutputRoom, pauseAfterRun, vmLeaves, vmPartitioned, noConfiguration, routeUnknown,
	routeUnsupported, handover, notPlanned,
}

// What follows a wait, if it isn't a wait for another cause.
const (
	nextRun    = "run"
	nextResult = "result"
	nextGone   = "not at this VM"
)

// wait is what an item waits for.
type wait struct {
	cause waitCause
	// part is the quarantined part, service the one that offers no slot, and software the version that began the output.
	part, service string
	software      registrar.Software
	// due is when a quarantined part may be tried next, or when a pause ends.
	due time.Time
}

// slotWait returns the wait for a slot of the service, at the bound software version if there is one.
func slotWait(service string, bound option.Option[registrar.Software]) wait {
	if software, ok := bound.Get(); ok {
		return wait{cause: softwareVersion, service: service, software: software}
	}
	return wait{cause: noSlot, service: service}
}

// isSame reports whether the other is the same wait. Which of several quarantined parts holds an item changes with each trial.
func (w wait) isSame(other wait) bool {
	return w.cause == other.cause && w.service == other.service && w.software == other.software
}

// itemWait is the present wait of a task; its cause is empty if there is none.
type itemWait struct {
	wait
	since time.Time
	// notedAt is when the item was last known to wait, countedAt when it was last counted.
	notedAt, countedAt time.Time
}

// waitLine is a line about a wait; next says what followed it, and is empty while it lasts.
type waitLine struct {
	*task
	wait
	waited, idle time.Duration
	next         string
	// unlogged is the number of lines for the cause that were left out since the line before.
	unlogged int
}

// waitCount is the number of items that wait for a cause, and when the first of them became idle.
type waitCount struct {
	items  int64
	oldest time.Time
}

// waitRecorder records what items wait for.
//
// Load pattern: hundreds of items wait for slots at each peak of online requests, and some of them lie for another cause. The
// lines are limited for each cause by itself, and the items that have waited longest get theirs first.
type waitRecorder struct {
	surveyedAt time.Time
	counts     map[waitCause]waitCount
	// due holds the tasks whose wait needs a line, logged those whose wait has one.
	due    []*task
	logged map[*task]bool
	// unwritten holds the lines to write.
	unwritten []waitLine
	// lines counts those for each cause since second, unlogged those left out.
	second          time.Time
	lines, unlogged map[waitCause]int
}

func newWaitRecorder() *waitRecorder {
	return &waitRecorder{
		counts: map[waitCause]waitCount{}, logged: map[*task]bool{}, lines: map[waitCause]int{}, unlogged: map[waitCause]int{},
	}
}

// note records what an item waits for now.
func (w *waitRecorder) note(now time.Time, t *task, present wait) {
	if !t.wait.isSame(present) {
		w.end(now, t, string(present.cause))
		t.wait.since = now
	}
	t.wait.wait, t.wait.notedAt = present, now
}

// end records that the item waits no more for what it did; next is what follows.
func (w *waitRecorder) end(now time.Time, t *task, next string) {
	if t.wait.cause == "" {
		return
	}
	switch {
	case w.logged[t]:
		delete(w.logged, t)
		w.add(now, t, next)
	case now.Sub(t.wait.since) >= waitNotice:
		w.unlogged[t.wait.cause]++
	}
	t.wait = itemWait{}
}

// add adds a line about the task's wait; false if there were too many for its cause.
func (w *waitRecorder) add(now time.Time, t *task, next string) bool {
	if now.Sub(w.second) >= time.Second {
		w.second = now
		clear(w.lines)
	}
	cause := t.wait.cause
	if w.lines[cause] >= maxWaitLines {
		if next != "" {
			w.unlogged[cause]++
		}
		return false
	}
	w.lines[cause]++
	unlogged := w.unlogged[cause]
	delete(w.unlogged, cause)
	w.unwritten = append(w.unwritten, waitLine{
		task: t, wait: t.wait.wait, waited: now.Sub(t.wait.since), idle: now.Sub(t.idleSince), next: next, unlogged: unlogged,
	})
	return true
}

// take returns the lines to write since the last call.
func (w *waitRecorder) take() []waitLine {
	lines := w.unwritten
	w.unwritten = nil
	return lines
}

// beginSurvey begins a count of the waiting items; false if the last one was a moment ago.
func (w *waitRecorder) beginSurvey(now time.Time) bool {
	if now.Sub(w.surveyedAt) < surveyInterval {
		return false
	}
	clear(w.counts)
	w.due = w.due[:0]
	return true
}

// count counts an item, which waits.
func (w *waitRecorder) count(now time.Time, t *task) {
	t.wait.countedAt = now
	c := w.counts[t.wait.cause]
	if c.items++; c.items == 1 || t.idleSince.Before(c.oldest) {
		c.oldest = t.idleSince
	}
	w.counts[t.wait.cause] = c
	if now.Sub(t.wait.since) >= waitNotice && !w.logged[t] {
		w.due = append(w.due, t)
	}
}

// endSurvey adds the lines that are due after all waiting items were counted. Tasks with a line that were not counted are gone.
func (w *waitRecorder) endSurvey(now time.Time) {
	w.surveyedAt = now
	for t := range w.logged {
		if !t.wait.countedAt.Equal(now) {
			w.end(now, t, nextGone)
		}
	}
	slices.SortFunc(w.due, func(a, b *task) int {
		return cmp.Or(a.wait.since.Compare(b.wait.since), cmp.Compare(a.item.ID, b.item.ID))
	})
	for _, t := range w.due {
		if w.add(now, t, "") {
			w.logged[t] = true
		}
	}
	clear(w.due)
}
