package allocator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

// TestScripts passes the inputs of each script to an allocator and compares its outputs.
func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txt", func(t *testing.T) func(scripter.Step) []string {
		a := New()
		return func(s scripter.Step) []string { return format(a.Handle(s.At, inputOf(t, s))) }
	})
}

// inputOf returns the input that a script's step stands for.
func inputOf(t *testing.T, s scripter.Step) Input {
	t.Helper()
	deadline := s.At.Add(s.Duration("within", 10*time.Second))
	report := Report{
		FirstToken: s.Duration("first", 0), TokenGap: s.Duration("gap", 0), Took: s.Duration("took", 0),
	}
	switch s.Verb {
	case "configure":
		return Configured{Policy: Policy{
			Slots: s.Int("slots", 4), FirstTokenTarget: 610 * time.Millisecond, TokenGapTarget: 68 * time.Millisecond,
			QueueLimit: s.Int("queue", 16), IsBatchPaused: s.Has("paused"), ReservedShare: s.Float("reserve", 0),
			LatencyHeadroom: 0.8, MayPressOnOnline: s.Has("urgentShare"), PressShare: s.Float("urgentShare", 0),
			IsLeaving: s.Has("leaving"),
		}}
	case "ask":
		return SlotRequested{
			ID: s.Name, VM: s.Text("vm", "vm-1"), Account: s.Text("account", "office"), Tokens: s.Int("tokens", 100),
			Deadline: deadline, HoldUntil: deadline,
		}
	case "withdraw":
		return Withdrawn{ID: s.Name}
	case "return":
		return SlotReleased{ID: s.Name, Report: report}
	case "declare":
		return SlotDeclared{ID: s.Name, VM: s.Text("vm", "vm-1"), Account: s.Text("account", "office"), HoldUntil: deadline}
	case "lose":
		return VMLost{VM: s.Name}
	case "load":
		return LoadReported{Running: s.Int("running", 0), Waiting: s.Int("waiting", 0)}
	case "offer":
		return BatchOffered{ID: s.Name, Due: s.At.Add(s.Duration("due", time.Hour)), IsUrgent: s.Has("urgent")}
	case "end":
		return BatchEnded{ID: s.Name, Report: report}
	case "wake":
		return Woken{}
	}
	require.Fail(t, "unknown verb", "line %d: %s", s.Line, s.Verb)
	return nil
}

// format returns the outputs as lines of a script.
func format(outs []Output) []string {
	lines := []string{}
	for _, out := range outs {
		switch out := out.(type) {
		case Granted:
			lines = append(lines, "granted "+out.ID)
		case Refused:
			lines = append(lines, fmt.Sprintf("refused %s: %s, retry after %s", out.ID, out.Reason, out.RetryAfter))
		case BatchStarted:
			lines = append(lines, "started "+out.ID)
		case BatchSuspended:
			lines = append(lines, "suspended "+out.ID)
		}
	}
	return lines
}
