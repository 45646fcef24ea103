package bencher

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
)

// request is one online request or batch item of a run.
type request struct {
	id      string
	account string
	isBatch bool
	// isPoison marks a batch item that fails in every attempt.
	isPoison bool
	isUrgent bool
	seq      *emulator.Sequence
	due      time.Time
	deadline time.Time

	arrivedAt time.Time
	startedAt time.Time
	firstAt   time.Time
	lastAt    time.Time
	attempts  int
	isRefused bool
	isDone    bool
	// job is the index of the item's batch job.
	job int
}

func newRequest(id, account string, prompt, want int, blocks []uint64) *request {
	return &request{id: id, account: account, seq: &emulator.Sequence{
		ID: id, PromptTokens: prompt, WantTokens: want, Blocks: blocks,
	}}
}

// engine steps an emulator.EngineModel in virtual time.
type engine struct {
	clock  *clock
	model  *emulator.EngineModel
	active map[string]*request
	// isBusy is true while a step runs.
	isBusy bool
	// slowness multiplies the duration of every step.
	slowness float64
	onToken  func(r *request, isFirst bool, gap time.Duration)
	onEnd    func(r *request)
}

func newEngine(c *clock, t emulator.EngineTiming) *engine {
	return &engine{clock: c, model: emulator.NewEngineModel(t), active: map[string]*request{}, slowness: 1}
}

// add starts the request, or resumes it with the tokens generated so far.
func (e *engine) add(r *request) {
	e.active[r.id] = r
	r.startedAt = e.clock.now
	e.model.Add(r.seq)
	e.step()
}

// remove takes the request out of the engine; a token that the current step generates for it is discarded.
func (e *engine) remove(r *request) {
	delete(e.active, r.id)
	e.model.Pause(r.seq)
}

func (e *engine) step() {
	if e.isBusy {
		return
	}
	took, emissions := e.model.Step()
	if took == 0 {
		return
	}
	e.isBusy = true
	e.clock.after(time.Duration(float64(took)*e.slowness), func() {
		e.isBusy = false
		for _, em := range emissions {
			e.emit(em)
		}
		e.step()
	})
}

func (e *engine) emit(em emulator.Emission) {
	r, ok := e.active[em.Sequence.ID]
	if !ok {
		em.Sequence.GeneratedTokens--
		return
	}
	now := e.clock.now
	isFirst := r.firstAt.IsZero()
	gap := now.Sub(r.lastAt)
	if isFirst {
		r.firstAt = now
		gap = now.Sub(r.arrivedAt)
	}
	r.lastAt = now
	if e.onToken != nil {
		e.onToken(r, isFirst, gap)
	}
	if em.IsLast {
		delete(e.active, r.id)
		r.isDone = true
		e.onEnd(r)
	}
}
