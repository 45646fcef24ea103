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

// world simulates one row, the endpoint that counts its runs, and the claimers of many arrivals of one request.
type world struct {
	t        *rapid.T
	now      time.Time
	row      Claim
	version  int64
	runs     int
	arrivals []*arrival
	// late holds writes that are still on their way.
	late    []WriteRow
	settles []Claim
}

// arrival is one arrival of the request at one VM.
type arrival struct {
	id       int
	vm       string
	claimer  *Claimer
	pending  []Output
	isVMLost bool
	ended    Output
	hasRun   bool
	isAtWork bool
}

func (w *world) arrive(vm string) {
	a := &arrival{id: len(w.arrivals), vm: vm}
	a.claimer = New("same", fmt.Sprintf("attempt-%d", a.id), vm, w.now.Add(time.Second))
	a.isAtWork = true
	w.arrivals = append(w.arrivals, a)
	w.feed(a, Arrived{})
}

func (w *world) feed(a *arrival, in Input) {
	a.pending = append(a.pending, a.claimer.Handle(w.now, in)...)
}

// write simulates the table service's conditional write.
func (w *world) write(out WriteRow) bool {
	if out.Version != w.version {
		return false
	}
	w.version++
	w.row = out.Claim
	return true
}

// perform carries out the arrival's next output, with a randomly drawn fault.
func (w *world) perform(a *arrival) {
	if a.isVMLost || a.ended != nil {
		return
	}
	if len(a.pending) == 0 {
		if wake, ok := a.claimer.NextWake().Get(); ok {
			w.now = maxTime(w.now, wake)
			w.feed(a, Woken{})
		}
		return
	}
	out := a.pending[0]
	a.pending = a.pending[1:]
	switch out := out.(type) {
	case WriteRow:
		w.performWrite(a, out)
	case ReadRow:
		if rapid.IntRange(0, 9).Draw(w.t, "read") == 0 {
			w.feed(a, ReadFailed{})
			return
		}
		w.feed(a, Found{Claim: w.row, Version: w.version})
	case Dispatch:
		w.dispatch(a)
	case AskHolder:
		w.feed(a, HolderStatus{IsAtWork: w.isAtWork(out.Attempt)})
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

func (w *world) performWrite(a *arrival, out WriteRow) {
	switch rapid.IntRange(0, 11).Draw(w.t, "write") {
	case 0: // The write took effect and its answer is lost.
		w.write(out)
		w.feed(a, WriteUncertain{})
	case 1: // The write is delayed: it may arrive later, or never.
		w.late = append(w.late, out)
		w.feed(a, WriteUncertain{})
	case 2: // The circuit breaker refuses to send it.
		w.feed(a, WriteRefused{})
	default:
		if w.write(out) {
			w.feed(a, Written{Version: w.version})
		} else {
			w.feed(a, Found{Claim: w.row, Version: w.version})
		}
	}
}

func (w *world) dispatch(a *arrival) {
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
	for _, a := range w.arrivals {
		if a.own() == attempt {
			return a.isAtWork && !a.isVMLost
		}
	}
	return false
}

func (a *arrival) own() string { return fmt.Sprintf("attempt-%d", a.id) }

// settle makes one background write as pkg/server does: it reads the row, and writes unless that is another attempt's.
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
	for _, a := range w.arrivals {
		switch end := a.ended.(type) {
		case Refused:
			if _, ok := end.Outcome.(outcome.NotRun); ok {
				require.False(w.t, a.hasRun, "attempt %d ran but was reported as not run", a.id)
			}
		case Replied:
			require.Equal(w.t, 1, w.runs, "the request was answered without having run")
		}
	}
}

// TestRunsAtMostOnce runs random interleavings of arrivals, lost and late writes, failed reads and lost VMs.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: epoch}
		w.arrive("vm-1")
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(*rapid.T) {
				if len(w.arrivals) < 6 {
					w.arrive(fmt.Sprintf("vm-%d", len(w.arrivals)%3))
				}
			},
			"act": func(t *rapid.T) {
				a := w.arrivals[rapid.IntRange(0, len(w.arrivals)-1).Draw(t, "arrival")]
				for range rapid.IntRange(1, 4).Draw(t, "steps") {
					w.perform(a)
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
				for _, a := range w.arrivals {
					if w.row.State == Running && a.own() == w.row.Attempt && rapid.Bool().Draw(t, "lose") {
						a.isVMLost = true
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

// TestRowIsLinearizable checks a history of conditional writes, on which claimers and the configuration head depend.
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
