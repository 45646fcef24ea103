package surveyor

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

func TestMain(m *testing.M) { scripter.RunSeeded(m) }

// TestScripts replays partitions, and what must not be taken for one. Between two steps the surveyor is woken as a carrier does.
func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txt", func(*testing.T) func(scripter.Step) []string {
		s := New()
		last, heardAt := scripter.Epoch, scripter.Epoch
		hears, inFlight, endpoints := false, 0, 9
		wake := func(now time.Time) []string {
			if hears {
				heardAt = now
			}
			return texts(s.Handle(now, Woken{HeardAt: heardAt, InFlight: inFlight, Endpoints: endpoints}))
		}
		return func(step scripter.Step) []string {
			out := []string{}
			for at := last.Add(WakeInterval); at.Before(step.At) && !step.Has("paused"); at = at.Add(WakeInterval) {
				out = append(out, wake(at)...)
			}
			last = step.At
			switch step.Verb {
			case "traffic":
				endpoints, inFlight = step.Int("endpoints", endpoints), step.Int("inFlight", inFlight)
				hears = step.Has("heard")
			case "failed":
				s.Handle(step.At, Failed{Endpoint: step.Name})
			case "connected":
				s.Handle(step.At, Connected{Endpoint: step.Name})
			case "answered":
				s.Handle(step.At, Answered{HasReached: step.Has("reached")})
			case "share":
				return append(out, fmt.Sprintf("share %.2f", s.LocalShare(step.At)))
			}
			return append(out, wake(step.At)...)
		}
	})
}

func texts(outputs []Output) []string {
	list := []string{}
	for _, out := range outputs {
		switch out := out.(type) {
		case Probe:
			list = append(list, fmt.Sprintf("probe %d, avoid %d", out.Count, len(out.Avoid)))
		case Ask:
			list = append(list, fmt.Sprintf("ask about %d", len(out.Endpoints)))
		case Changed:
			text := out.State.Phase.String()
			if out.State.IsSilent {
				text += ", silent"
			}
			list = append(list, text)
		}
	}
	return list
}

// TestOneSilentOrDeadEndpointIsNoPartition draws failures of one endpoint among sound ones, which answer each probe: the VM stays
// in touch.
func TestOneSilentOrDeadEndpointIsNoPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		now, heardAt := scripter.Epoch, scripter.Epoch
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "fails") {
				s.Handle(now, Failed{Endpoint: "dead"})
			}
			if rapid.Bool().Draw(t, "heard") {
				heardAt = now
			}
			in := Woken{HeardAt: heardAt, InFlight: rapid.IntRange(0, 3).Draw(t, "inFlight"), Endpoints: 6}
			for _, out := range s.Handle(now, in) {
				if p, ok := out.(Probe); ok {
					for n := range p.Count {
						s.Handle(now, Connected{Endpoint: fmt.Sprintf("sound%d", n)})
					}
				}
			}
			assert.Equal(t, InTouch, s.State().Phase)
		}
	})
}

// TestEndOfAllEndpointsIsNoPartition has all endpoints fail, for this VM and for the others: the VM stays in touch.
func TestEndOfAllEndpointsIsNoPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		now := scripter.Epoch
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			s.Handle(now, Failed{Endpoint: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "endpoint"))})
			for _, out := range s.Handle(now, Woken{InFlight: rapid.IntRange(0, 3).Draw(t, "inFlight"), Endpoints: 6}) {
				if _, ok := out.(Ask); ok && rapid.Bool().Draw(t, "isAnswered") {
					s.Handle(now, Answered{})
				}
			}
			assert.Equal(t, InTouch, s.State().Phase)
		}
	})
}

// TestPartitionIsSeenAndEnds draws the moment at which all links fail and at which they are back: with requests in flight the VM
// is partitioned 1 s later at the latest, and in touch again 3 s after the end.
func TestPartitionIsSeenAndEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		endpoints := rapid.IntRange(2, 60).Draw(t, "endpoints")
		cut := scripter.Epoch.Add(time.Duration(rapid.IntRange(500, 3000).Draw(t, "cut")) * time.Millisecond)
		heal := cut.Add(time.Duration(rapid.IntRange(1500, 9000).Draw(t, "lasts")) * time.Millisecond)
		isSilent := rapid.Bool().Draw(t, "silent")
		next, heardAt := 0, scripter.Epoch
		type result struct {
			at       time.Time
			endpoint string
		}
		var results []result
		for now := scripter.Epoch; now.Before(heal.Add(3 * time.Second)); now = now.Add(50 * time.Millisecond) {
			isCut := !now.Before(cut) && now.Before(heal)
			if !isCut || !isSilent {
				heardAt = now
			}
			for len(results) > 0 && !now.Before(results[0].at) {
				if isCut {
					s.Handle(now, Failed{Endpoint: results[0].endpoint})
				} else {
					s.Handle(now, Connected{Endpoint: results[0].endpoint})
				}
				results = results[1:]
			}
			if isCut && !isSilent && s.State().Phase == InTouch {
				// A request that needs a connection now and then.
				next++
				s.Handle(now, Failed{Endpoint: fmt.Sprint(next % endpoints)})
			}
			for _, out := range s.Handle(now, Woken{HeardAt: heardAt, InFlight: 2, Endpoints: endpoints}) {
				switch out := out.(type) {
				case Probe:
					for range out.Count {
						next++
						results = append(results, result{now.Add(150 * time.Millisecond), fmt.Sprint(next % endpoints)})
					}
				case Ask:
					s.Handle(now, Answered{HasReached: isCut})
				}
			}
			if now.After(cut.Add(time.Second)) && now.Before(heal) {
				assert.Equal(t, Partitioned, s.State().Phase, "%s after the cut", now.Sub(cut))
			}
		}
		assert.Equal(t, InTouch, s.State().Phase)
	})
}
