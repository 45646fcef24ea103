package quarantiner

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

// TestScripts replays the load patterns of the scripts. "broke" is a request whose endpoint ended, "completed" one that was
// completed, each with the shared parts of its prompt; "check" asks whether a request may be sent by the VM of a rank, the only
// VM if it is not given; "outlived" is progress of a request past a number of events; "probed" is another VM's probe that began
// some time ago. "hold" asks what holds a batch item at the VM of a rank, "trial" sends it in spite of that, and "abort" ends the
// trial of that name, which said nothing.
func TestScripts(t *testing.T) {
	replay(t, "testdata/*.txt")
}

func replay(t *testing.T, pattern string) {
	scripter.Run(t, pattern, func(*testing.T) func(scripter.Step) []string {
		q := New()
		trials := map[string]time.Time{}
		return func(s scripter.Step) []string {
			out := []string{}
			parts := strings.Split(s.Text("parts", ""), ",")
			switch s.Verb {
			case "broke":
				strikes := []Strike{}
				for _, p := range q.Suspects(s.At, parts) {
					strikes = append(strikes, Strike{
						Part: p, Position: slices.Index(parts, p), Endpoint: s.Name, HadAnswer: s.Has("answering"),
						Events: s.Int("events", 0), Delay: delayOf(s), At: s.At,
					})
				}
				for _, p := range q.Add(s.At, strikes...) {
					out = append(out, "quarantined "+p)
				}
			case "completed":
				for _, r := range q.Completed(s.At, parts) {
					out = append(out, "refuted "+r.Part)
				}
			case "outlived":
				for _, r := range q.Outlived(s.At, parts, s.Int("events", 0)) {
					out = append(out, fmt.Sprintf("refuted %s up to %d", r.Part, r.Events))
				}
			case "probed":
				q.Probed(s.At, s.Name, s.At.Add(-s.Duration("ago", 0)))
			case "hold":
				out = append(out, textOf(q.HoldOf(s.At, parts, rankOf(s)), s.At))
			case "trial":
				trials[s.Name] = s.At
				q.BeginTrial(s.At, q.HoldOf(s.At, parts, rankOf(s)).Parts)
			case "abort":
				q.AbortTrial(s.At, parts, trials[s.Name])
			case "check":
				v := q.Check(s.At, parts)
				switch {
				case v.Part == "":
					out = append(out, "send")
				case v.IsProbeDue && HasTurn(v.Part, v.Turn, s.Int("rank", 0), s.Int("of", 1)) && q.BeginProbe(s.At, v.Part):
					out = append(out, "probe "+v.Part)
				default:
					out = append(out, fmt.Sprintf("refuse %s for %s", v.Part, v.Left))
				}
			}
			return out
		}
	})
}

// rankOf returns the order in which the step's VM has its place, by default the only one.
func rankOf(s scripter.Step) Rank {
	return func(string) (int, int) { return s.Int("rank", 0), s.Int("of", 1) }
}

// textOf returns what a hold says of an item: that it is sent, or as a trial of which parts, or how long which part holds it.
func textOf(h Hold, now time.Time) string {
	switch {
	case h.Part == "":
		return "send"
	case h.IsHeld(now):
		return fmt.Sprintf("held by %s for %s", h.Part, h.Due.Sub(now))
	default:
		return "trial of " + strings.Join(h.Parts, ",")
	}
}

// delayOf returns the delay of a request that had made "progress", or was sent "before" the quarantine.
func delayOf(s scripter.Step) Delay {
	switch {
	case s.Has("progress"):
		return DelaysNone
	case s.Has("before"):
		return DelaysLater
	default:
		return DelaysNext
	}
}

// TestOnlyTheCauseIsQuarantined draws traffic in which one part crashes endpoints and no request is completed meanwhile, so that
// only the strikes tell the cause from what its requests share with sound ones. The cause must be quarantined by the sixth
// crash, or by the third if no answer had begun; the caller's part never, if the cause is another one. Parts of requests beside
// that were at six crashes themselves, with strikes as heavy as the caller's, are told apart from the cause only if the caller's
// strikes at the other endpoints suffice; else they have the blame.
func TestOnlyTheCauseIsQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		now := scripter.Epoch
		isCallerTheCause := rapid.Bool().Draw(t, "callerIsCause")
		crashes, isAnswering := 0, false
		besides := map[string]int{}
		ends := []crash{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(201, 3000).Draw(t, "gap")) * time.Millisecond)
			endpoint := fmt.Sprintf("e%d", crashes)
			crashes++
			hadAnswer := rapid.Bool().Draw(t, "answering")
			isAnswering = isAnswering || hadAnswer
			beside := fmt.Sprintf("%csound%d", rapid.SampledFrom([]rune("az")).Draw(t, "name"), rapid.IntRange(0, 9).Draw(t, "beside"))
			besides[beside]++
			ends = append(ends, crash{beside, hadAnswer})
			strikes := []Strike{
				{Part: "caller", Position: 0, Endpoint: endpoint, HadAnswer: hadAnswer, At: now},
				{Part: "cause", Position: 1, Endpoint: endpoint, HadAnswer: hadAnswer, At: now},
				{Part: beside, Position: 1, Endpoint: endpoint, HadAnswer: true, At: now},
			}
			if isCallerTheCause {
				// Each request of the caller has another second part.
				strikes[1].Part = fmt.Sprintf("other%d", crashes)
			}
			for _, n := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				q.Add(now, strikes[n])
			}
			if crashes < 3 || (crashes < 6 && isAnswering) {
				continue
			}
			part := q.Check(now, []string{"caller", "cause"}).Part
			switch rivals := rivalsOf(ends, besides); {
			case !isCallerTheCause:
				assert.Equal(t, "cause", part)
			case len(rivals) == 0:
				assert.Equal(t, "caller", part)
			default:
				for _, rival := range rivals {
					assert.True(t, q.IsQuarantined(rival), rival)
				}
			}
		}
	})
}

// crash is the end of an endpoint in TestOnlyTheCauseIsQuarantined.
type crash struct {
	beside    string
	hadAnswer bool
}

// rivalsOf returns the parts beside whose strikes suffice, if those of the part at all crashes don't suffice without them.
func rivalsOf(ends []crash, besides map[string]int) []string {
	left := 0
	for _, end := range ends {
		if !end.hadAnswer {
			left += fullWeight
		} else if besides[end.beside]*answerWeight < threshold {
			left += answerWeight
		}
	}
	var rivals []string
	for part, n := range besides {
		if left < threshold && n*answerWeight >= threshold {
			rivals = append(rivals, part)
		}
	}
	return rivals
}

// TestStrikesAreBounded adds strikes against more parts than the quarantiner holds.
func TestStrikesAreBounded(t *testing.T) {
	q := New()
	for n := range 2 * maxParts {
		q.Add(scripter.Epoch, Strike{Part: fmt.Sprint(n), Endpoint: "e", At: scripter.Epoch})
		q.Completed(scripter.Epoch, []string{fmt.Sprint(-n)})
	}
	assert.LessOrEqual(t, len(q.records), maxParts)
	assert.LessOrEqual(t, len(q.completed), maxParts)
	later := scripter.Epoch.Add(Duration + time.Second)
	q.Add(later, Strike{Part: "new", Endpoint: "e", At: later})
	assert.Len(t, q.records, 1, "expired parts give way to new ones")
}

// TestRowsInAnyOrderGiveOneVerdict adds strikes and refutations of parts in two orders. Several VMs see the end of an endpoint,
// each at a time of its own, and some of them under requests whose answer had begun.
func TestRowsInAnyOrderGiveOneVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type event struct {
			strike    Strike
			refutedAt time.Time
			// isOutlived says that the refutation is of strikes up to the strike's events.
			isOutlived bool
		}
		var events []event
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			at := scripter.Epoch.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			part := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "part")
			e := event{strike: Strike{
				Part: part, Position: rapid.IntRange(0, 1).Draw(t, "position"),
				Endpoint:  fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "endpoint")),
				HadAnswer: rapid.Bool().Draw(t, "answering"), Events: rapid.IntRange(0, 3).Draw(t, "events"), At: at,
			}}
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				e.refutedAt = at
			case 1:
				e.refutedAt, e.isOutlived = at, true
			}
			events = append(events, e)
		}
		verdict := func(list []event) string {
			q := New()
			now := scripter.Epoch.Add(5 * time.Second)
			for _, e := range list {
				switch {
				case e.refutedAt.IsZero():
					q.Add(now, e.strike)
				case e.isOutlived:
					q.RefuteUpTo(now, Refutation{Part: e.strike.Part, At: e.refutedAt, Events: e.strike.Events})
				default:
					q.Refute(now, e.strike.Part, e.refutedAt)
				}
			}
			return fmt.Sprint(q.IsQuarantined("a"), q.IsQuarantined("b"))
		}
		assert.Equal(t, verdict(events), verdict(rapid.Permutation(events).Draw(t, "order")))
	})
}

// TestStrikesOfAClockAheadAreRefuted adds strikes of a VM whose clock is a minute ahead, and completes a request with the part.
func TestStrikesOfAClockAheadAreRefuted(t *testing.T) {
	q := New()
	now := scripter.Epoch
	for n := range 3 {
		q.Add(now, Strike{Part: "caller", Endpoint: fmt.Sprint(n), At: now.Add(time.Minute)})
	}
	require.Equal(t, "caller", q.Check(now, []string{"caller"}).Part)
	q.Completed(now.Add(5*time.Second), []string{"caller"})
	assert.Empty(t, q.Check(now.Add(5*time.Second), []string{"caller"}).Part, "a completed request does not refute the strikes")
}

// TestStrikeKnownAfterItsRefutationCountsForNothing learns of a refutation before the strikes that it refutes.
func TestStrikeKnownAfterItsRefutationCountsForNothing(t *testing.T) {
	q := New()
	now := scripter.Epoch
	q.Refute(now, "p", now)
	for n := range 3 {
		q.Add(now.Add(time.Second), Strike{Part: "p", Endpoint: fmt.Sprint(n), At: now.Add(-time.Second)})
	}
	assert.False(t, q.IsQuarantined("p"))
}
