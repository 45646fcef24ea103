package claimer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
)

var epoch = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

// world is one row, the endpoint's ledger and the claimers of many arrivals of one request.
type world struct {
	t       *rapid.T
	now     time.Time
	row     Claim
	version int64
	runs    int
	actors  []*actor
	late    []WriteRow
	settles []Claim
}

// actor is one arrival at one VM.
type actor struct {
	id       int
	vm       string
	core     *Claimer
	pending  []Output
	isLost   bool
	ended    Output
	hasRun   bool
	isAtWork bool
}

func (w *world) arrive(vm string) {
	a := &actor{id: len(w.actors), vm: vm}
	a.core = New("same", fmt.Sprintf("attempt-%d", a.id), vm, w.now.Add(time.Second))
	a.isAtWork = true
	w.actors = append(w.actors, a)
	w.feed(a, Arrived{})
}

func (w *world) feed(a *actor, in Input) {
	a.pending = append(a.pending, a.core.Handle(w.now, in)...)
}

// write is the table service's conditional write.
func (w *world) write(out WriteRow) bool {
	if out.Version != w.version {
		return false
	}
	w.version++
	w.row = out.Claim
	return true
}

// act carries out the actor's next output under a fault that the draw picks.
func (w *world) act(a *actor) {
	if a.isLost || a.ended != nil {
		return
	}
	if len(a.pending) == 0 {
		if wake, ok := a.core.NextWake().Get(); ok {
			w.now = maxTime(w.now, wake)
			w.feed(a, Woken{})
		}
		return
	}
	out := a.pending[0]
	a.pending = a.pending[1:]
	switch out := out.(type) {
	case WriteRow:
		w.actWrite(a, out)
	case ReadRow:
		if rapid.IntRange(0, 9).Draw(w.t, "read") == 0 {
			w.feed(a, ReadFailed{})
			return
		}
		w.feed(a, Found{Claim: w.row, Version: w.version})
	case Dispatch:
		w.dispatch(a)
	case AskHolder:
		w.feed(a, HolderSeen{IsAtWork: w.isAtWork(out.Attempt)})
	case Settle:
		w.settles = append(w.settles, out.Claim)
	case Replied, Refused:
		a.ended = out
		a.isAtWork = false
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) actWrite(a *actor, out WriteRow) {
	switch rapid.IntRange(0, 11).Draw(w.t, "write") {
	case 0: // The write took effect and its answer is lost.
		w.write(out)
		w.feed(a, WriteLost{})
	case 1: // The write is lost on its way, and may arrive later.
		w.late = append(w.late, out)
		w.feed(a, WriteLost{})
	case 2: // The circuit refuses to send it.
		w.feed(a, WriteRefused{})
	default:
		if w.write(out) {
			w.feed(a, Written{Version: w.version})
		} else {
			w.feed(a, Found{Claim: w.row, Version: w.version})
		}
	}
}

func (w *world) dispatch(a *actor) {
	a.hasRun = true
	w.runs++
	switch rapid.IntRange(0, 3).Draw(w.t, "attempt") {
	case 0:
		w.runs--
		a.hasRun = false
		w.feed(a, AttemptEnded{Outcome: outcome.NotRun{Reason: "refused"}})
	case 1:
		w.feed(a, AttemptEnded{Outcome: outcome.Unknown{Reason: "cut"}})
	default:
		w.feed(a, AttemptEnded{Outcome: outcome.Completed{}, Answer: Answer{Status: 201, Body: []byte{byte(a.id)}}})
	}
}

func (w *world) isAtWork(attempt string) bool {
	for _, a := range w.actors {
		if a.own() == attempt {
			return a.isAtWork && !a.isLost
		}
	}
	return false
}

func (a *actor) own() string { return fmt.Sprintf("attempt-%d", a.id) }

// settle makes one background write, as the shell does: it reads, and writes unless the row belongs to another.
func (w *world) settle() {
	if len(w.settles) == 0 {
		return
	}
	claim := w.settles[0]
	w.settles = w.settles[1:]
	if w.version > 0 && (w.row.Attempt != claim.Attempt || w.row.State == claim.State) {
		return
	}
	w.write(WriteRow{Claim: claim, Version: w.version})
}

func (w *world) check() {
	require.LessOrEqual(w.t, w.runs, 1, "the request ran twice")
	for _, a := range w.actors {
		switch end := a.ended.(type) {
		case Refused:
			if _, ok := end.Outcome.(outcome.NotRun); ok {
				require.False(w.t, a.hasRun, "attempt %d ran and was called not run", a.id)
			}
		case Replied:
			require.Equal(w.t, 1, w.runs, "an answer without a run")
		}
	}
}

// TestRunsAtMostOnce plays random interleavings of arrivals, lost and late writes, failed reads and lost VMs.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: epoch}
		w.arrive("vm-1")
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(*rapid.T) {
				if len(w.actors) < 6 {
					w.arrive(fmt.Sprintf("vm-%d", len(w.actors)%3))
				}
			},
			"act": func(t *rapid.T) {
				a := w.actors[rapid.IntRange(0, len(w.actors)-1).Draw(t, "actor")]
				for range rapid.IntRange(1, 4).Draw(t, "steps") {
					w.act(a)
				}
			},
			"lateWrite": func(*rapid.T) {
				if len(w.late) > 0 {
					w.write(w.late[0])
					w.late = w.late[1:]
				}
			},
			"settle": func(*rapid.T) { w.settle() },
			"loseHolder": func(t *rapid.T) {
				for _, a := range w.actors {
					if w.row.State == Running && a.own() == w.row.Attempt && rapid.Bool().Draw(t, "lose") {
						a.isLost = true
					}
				}
			},
			"": func(*rapid.T) { w.check() },
		})
	})
}

type casInput struct {
	isWrite bool
	expect  int64
}

type casOutput struct {
	isDone  bool
	version int64
}

// TestRowIsLinearizable checks the history of conditional writes that claimers and the configuration head rest on.
func TestRowIsLinearizable(t *testing.T) {
	model := porcupine.Model{
		Init: func() any { return int64(0) },
		Step: func(state, input, output any) (bool, any) {
			version, in, out := state.(int64), input.(casInput), output.(casOutput)
			if !in.isWrite {
				return out.version == version, version
			}
			if in.expect != version {
				return !out.isDone, version
			}
			return out.isDone, version + 1
		},
	}
	random := rand.New(rand.NewPCG(21, 21))
	w := &world{}
	ops := []porcupine.Operation{}
	clock := int64(0)
	for range 400 {
		in := casInput{isWrite: random.IntN(2) == 0, expect: max(0, w.version-int64(random.IntN(2)))}
		clock++
		op := porcupine.Operation{ClientId: random.IntN(4), Input: in, Call: clock}
		if in.isWrite {
			op.Output = casOutput{isDone: w.write(WriteRow{Version: in.expect})}
		} else {
			op.Output = casOutput{version: w.version}
		}
		clock++
		op.Return = clock
		ops = append(ops, op)
	}
	require.True(t, porcupine.CheckOperations(model, ops))
}
