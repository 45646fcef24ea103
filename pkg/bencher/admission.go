package bencher

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
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
	allocator *keeper.Keeper
	requests  map[string]*request
	wakeAt    time.Time
	onRefuse  func(r *request, retryAfter time.Duration)

	// suspended counts suspensions of batch items.
	suspended int
	// wastedTokens counts the prompt and output tokens prefilled again when suspended items resumed.
	wastedTokens int
}

func newAllocatorAdmission(c *clock, e *engine, p keeper.Policy) *allocatorAdmission {
	k := &allocatorAdmission{clock: c, engine: e, allocator: keeper.New(), requests: map[string]*request{}}
	k.handle(keeper.Configured{Policy: p})
	return k
}

func (k *allocatorAdmission) arrive(r *request) {
	k.requests[r.id] = r
	if r.isBatch {
		k.handle(keeper.BatchOffered{ID: r.id, Due: r.due, IsUrgent: r.isUrgent})
		return
	}
	k.handle(keeper.Asked{
		ID: r.id, VM: "vm-1", Account: r.account, Tokens: r.seq.WantTokens,
		Deadline: r.deadline, HoldUntil: r.deadline.Add(time.Minute),
	})
}

func (k *allocatorAdmission) ended(r *request) {
	report := keeper.Report{
		FirstToken: r.firstAt.Sub(r.startedAt), Tokens: r.seq.GeneratedTokens, Took: k.clock.now.Sub(r.startedAt),
	}
	if r.seq.GeneratedTokens > 1 {
		report.TokenGap = r.lastAt.Sub(r.firstAt) / time.Duration(r.seq.GeneratedTokens-1)
	}
	if r.isBatch {
		k.handle(keeper.BatchEnded{ID: r.id, Report: report})
		return
	}
	k.handle(keeper.Returned{ID: r.id, Report: report})
}

func (k *allocatorAdmission) handle(in keeper.Input) {
	for _, out := range k.allocator.Handle(k.clock.now, in) {
		k.carryOut(out)
	}
	wake, ok := k.allocator.NextWake().Get()
	if !ok || (wake.Equal(k.wakeAt) && wake.After(k.clock.now)) {
		return
	}
	k.wakeAt = wake
	k.clock.at(wake, func() {
		if k.wakeAt.Equal(k.clock.now) {
			k.handle(keeper.Woken{})
		}
	})
}

func (k *allocatorAdmission) carryOut(out keeper.Output) {
	switch out := out.(type) {
	case keeper.Granted:
		k.engine.add(k.requests[out.ID])
	case keeper.Refused:
		r := k.requests[out.ID]
		r.isRefused = true
		if k.onRefuse != nil {
			k.onRefuse(r, out.RetryAfter)
		}
	case keeper.BatchStarted:
		r := k.requests[out.ID]
		before := k.engine.model.PrefilledTokens
		isResumed := r.seq.GeneratedTokens > 0
		k.engine.add(r)
		if isResumed {
			k.wastedTokens += k.engine.model.PrefilledTokens - before
		}
	case keeper.BatchParked:
		k.suspended++
		k.engine.remove(k.requests[out.ID])
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
