package budgeter

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

func testLimits() Limits {
	return Limits{Bytes: 100, SmallShare: 25, SmallHold: 10, ShedAfter: time.Second, StalledAfter: 30 * time.Second}
}

// script runs the steps of one script.
type script struct {
	budget      *Budgeter
	holds       map[string]*Hold
	connections *Connections
	conns       map[string]*Connection
}

// TestScripts replays the load patterns of the scripts.
func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txt", func(t *testing.T) func(scripter.Step) []string {
		s := &script{
			budget: New(testLimits()), holds: map[string]*Hold{}, connections: NewConnections(3), conns: map[string]*Connection{},
		}
		return func(step scripter.Step) []string {
			switch step.Verb {
			case "connect", "begin", "end", "disconnect", "older", "count":
				return s.connection(step)
			}
			return s.bytes(t, step)
		}
	})
}

func (s *script) bytes(t *testing.T, step scripter.Step) []string {
	h, n := s.holds[step.Name], int64(step.Int("bytes", 0))
	switch step.Verb {
	case "open":
		s.holds[step.Name] = s.budget.Open(step.At, step.Name)
	case "reserve":
		switch v := s.budget.Reserve(step.At, h, n).(type) {
		case Refused:
			return []string{"refused after=" + v.RetryAfter.String()}
		case Granted:
			if len(v.Shed) > 0 {
				return []string{"granted shed=" + owners(v.Shed)}
			}
			return []string{"granted"}
		}
	case "release":
		s.budget.Release(h, n)
	case "progress":
		s.budget.Progress(step.At, h)
	case "complete":
		if !s.budget.Complete(h) {
			return []string{"shed"}
		}
		return []string{"kept"}
	case "close":
		s.budget.Close(step.At, h)
	case "stalled":
		return []string{owners(s.budget.Stalled(step.At))}
	case "held":
		return []string{strconv.FormatInt(s.budget.Held(), 10)}
	case "answer":
		return []string{s.budget.AnswerTimeout(step.At).String()}
	default:
		require.Fail(t, "unknown verb "+step.Verb)
	}
	return []string{}
}

func owners(holds []*Hold) string {
	names := []string{}
	for _, h := range holds {
		names = append(names, h.Owner.(string))
	}
	return join(names)
}

func (s *script) connection(step scripter.Step) []string {
	k := s.conns[step.Name]
	switch step.Verb {
	case "connect":
		admitted, closed := s.connections.Open(step.At, step.Name)
		if admitted == nil {
			return []string{"refused"}
		}
		s.conns[step.Name] = admitted
		if closed != nil {
			return []string{fmt.Sprintf("admitted closed=%s", closed.Owner)}
		}
		return []string{"admitted"}
	case "begin":
		s.connections.Begin(k)
	case "end":
		if !s.connections.End(step.At, k) {
			return []string{"closed"}
		}
		return []string{"open"}
	case "disconnect":
		s.connections.Close(k)
	case "count":
		return []string{strconv.Itoa(s.connections.Count())}
	case "older":
		names := []string{}
		for _, k := range s.connections.Older(step.At, step.Duration("limit", 0)) {
			names = append(names, k.Owner.(string))
		}
		return []string{join(names)}
	}
	return []string{}
}

func join(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, " ")
}

// TestBudgetHolds draws requests of all sizes and checks after each step that no more is held than the budget, that large holds
// leave the share of small ones, and that nothing is held once all are closed.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now, holds := New(testLimits()), scripter.Epoch, []*Hold{}
		pick := func() *Hold { return holds[rapid.IntRange(0, len(holds)-1).Draw(t, "hold")] }
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			step := rapid.IntRange(0, 6).Draw(t, "step")
			if len(holds) == 0 {
				step = 0
			}
			switch step {
			case 0:
				holds = append(holds, b.Open(now, nil))
			case 1, 2:
				h, n := pick(), int64(rapid.IntRange(1, 60).Draw(t, "bytes"))
				before := h.Bytes()
				if v, ok := b.Reserve(now, h, n).(Granted); ok {
					require.Equal(t, before+n, h.Bytes())
					for _, s := range v.Shed {
						require.Zero(t, s.Bytes())
						require.GreaterOrEqual(t, now.Sub(s.progress), time.Second)
					}
				} else {
					require.Equal(t, before, h.Bytes())
				}
			case 3:
				b.Release(pick(), int64(rapid.IntRange(1, 20).Draw(t, "bytes")))
			case 4:
				b.Progress(now, pick())
			case 5:
				b.Complete(pick())
			case 6:
				for _, s := range b.Stalled(now) {
					require.Zero(t, s.Bytes())
				}
				b.Close(now, pick())
			}
			sum, large := int64(0), int64(0)
			for _, h := range holds {
				sum += h.Bytes()
				if h.Bytes() > 10 {
					large += h.Bytes()
				}
			}
			require.Equal(t, sum, b.Held())
			require.LessOrEqual(t, sum, int64(100))
			require.LessOrEqual(t, large, int64(75))
		}
		for _, h := range holds {
			b.Close(now, h)
		}
		require.Zero(t, b.Held())
		require.Zero(t, b.incomplete.Len())
	})
}

// BenchmarkSmallRequest measures what the budget costs an ordinary request.
func BenchmarkSmallRequest(b *testing.B) {
	budget, now := New(Limits{Bytes: 1 << 20, SmallShare: 1 << 18, SmallHold: 16 << 10, ShedAfter: time.Second}), time.Now()
	for b.Loop() {
		h := budget.Open(now, nil)
		budget.Reserve(now, h, 2048)
		budget.Complete(h)
		budget.Close(now, h)
	}
}
