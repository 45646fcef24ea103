package bencher

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
)

// admission decides which requests an engine receives, and when.
type admission interface {
	arrive(r *request)
	ended(r *request)
}

// allocatorAdmission is the daemon's own policy: the slot allocator of one endpoint.
type allocatorAdmission struct {
	clock     *clock
	engine    *engine
	allocator *allocator.Allocator
	requests  map[string]*request
	wakeAt    time.Time
	onRefuse  func(r *request, retryAfter time.Duration)

	// suspended counts suspensions of batch items.
	suspended int
	// wastedTokens counts the prompt and output tokens prefilled again when suspended items resumed.
	wastedTokens int
}

func newAllocatorAdmission(c *clock, e *engine, p allocator.Policy) *allocatorAdmission {
	a := &allocatorAdmission{clock: c, engine: e, allocator: allocator.New(), requests: map[string]*request{}}
	a.handle(allocator.Configured{Policy: p})
	return a
}

func (a *allocatorAdmission) arrive(r *request) {
	a.requests[r.id] = r
	if r.isBatch {
		a.handle(allocator.BatchOffered{ID: r.id, Due: r.due, IsUrgent: r.isUrgent})
		return
	}
	a.handle(allocator.SlotRequested{
		ID: r.id, VM: "vm-1", Account: r.account, Tokens: r.seq.WantTokens,
		Deadline: r.deadline, HoldUntil: r.deadline.Add(time.Minute),
	})
}

func (a *allocatorAdmission) ended(r *request) {
	report := allocator.Report{
		FirstToken: r.firstAt.Sub(r.startedAt), Tokens: r.seq.GeneratedTokens, Took: a.clock.now.Sub(r.startedAt),
	}
	if r.seq.GeneratedTokens > 1 {
		report.TokenGap = r.lastAt.Sub(r.firstAt) / time.Duration(r.seq.GeneratedTokens-1)
	}
	if r.isBatch {
		a.handle(allocator.BatchEnded{ID: r.id, Report: report})
		return
	}
	a.handle(allocator.SlotReleased{ID: r.id, Report: report})
}

func (a *allocatorAdmission) handle(in allocator.Input) {
	for _, out := range a.allocator.Handle(a.clock.now, in) {
		a.carryOut(out)
	}
	wake, ok := a.allocator.NextWake().Get()
	if !ok || (wake.Equal(a.wakeAt) && wake.After(a.clock.now)) {
		return
	}
	a.wakeAt = wake
	a.clock.at(wake, func() {
		if a.wakeAt.Equal(a.clock.now) {
			a.handle(allocator.Woken{})
		}
	})
}

func (a *allocatorAdmission) carryOut(out allocator.Output) {
	switch out := out.(type) {
	case allocator.Granted:
		a.engine.add(a.requests[out.ID])
	case allocator.Refused:
		r := a.requests[out.ID]
		r.isRefused = true
		if a.onRefuse != nil {
			a.onRefuse(r, out.RetryAfter)
		}
	case allocator.BatchStarted:
		r := a.requests[out.ID]
		before := a.engine.model.PrefilledTokens
		isResumed := r.seq.GeneratedTokens > 0
		a.engine.add(r)
		if isResumed {
			a.wastedTokens += a.engine.model.PrefilledTokens - before
		}
	case allocator.BatchSuspended:
		a.suspended++
		a.engine.remove(a.requests[out.ID])
	}
}

// fifoAdmission is a baseline: one first-in, first-out queue for all requests, without priority.
type fifoAdmission struct {
	engine *engine
	slots  int
	queue  []*request
	inUse  int
}

func (f *fifoAdmission) arrive(r *request) {
	f.queue = append(f.queue, r)
	f.fill()
}

func (f *fifoAdmission) ended(*request) {
	f.inUse--
	f.fill()
}

func (f *fifoAdmission) fill() {
	for len(f.queue) > 0 && f.inUse < f.slots {
		r := f.queue[0]
		f.queue = f.queue[1:]
		f.inUse++
		f.engine.add(r)
	}
}

// splitAdmission is a baseline: online requests and batch items each have a fixed half of the slots.
type splitAdmission struct {
	onlineSide, batchSide *fifoAdmission
}

func newSplitAdmission(e *engine, slots int) *splitAdmission {
	return &splitAdmission{
		onlineSide: &fifoAdmission{engine: e, slots: slots / 2}, batchSide: &fifoAdmission{engine: e, slots: slots - slots/2},
	}
}

func (s *splitAdmission) side(r *request) *fifoAdmission {
	if r.isBatch {
		return s.batchSide
	}
	return s.onlineSide
}

func (s *splitAdmission) arrive(r *request) { s.side(r).arrive(r) }

func (s *splitAdmission) ended(r *request) { s.side(r).ended(r) }
