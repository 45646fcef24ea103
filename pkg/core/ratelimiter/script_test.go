package ratelimiter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

func scriptPeers(s scripter.Step) Peers {
	return Peers{
		Coordinators: strings.Fields(strings.ReplaceAll(s.Text("live", ""), ",", " ")),
		Former:       strings.Fields(strings.ReplaceAll(s.Text("former", ""), ",", " ")),
		IsConnected:  !s.Has("cut"), Count: s.Int("count", 4),
	}
}

func scriptAccount(s scripter.Step) Account {
	return Account{Name: s.Text("account", "a"), Rate: s.Float("rate", 10), Burst: s.Float("burst", 10)}
}

// TestSharerScripts runs the scripted cases of a VM's side; each file says which failure it guards against.
func TestSharerScripts(t *testing.T) {
	scripter.Run(t, "testdata/sharer-*.txt", func(*testing.T) func(scripter.Step) []string {
		cfg := loadConfig
		cfg.VM = "me"
		sharer := NewSharer(cfg)
		return func(s scripter.Step) []string {
			texts := []string{}
			for _, out := range sharer.Handle(s.At, sharerInput(s)) {
				switch out := out.(type) {
				case Admitted:
					texts = append(texts, fmt.Sprintf("admit %d", out.ID))
				case Refused:
					texts = append(texts, fmt.Sprintf("refuse %d after %v alone=%v", out.ID, out.RetryAfter, out.IsAlone))
				case Ask:
					texts = append(texts, fmt.Sprintf("ask %s number=%d wanted=%d unsettled=%d", out.To, out.Question.Number,
						out.Question.Wanted, out.Question.Taken-out.Question.Settled))
				}
			}
			return texts
		}
	})
}

func sharerInput(s scripter.Step) SharerInput {
	switch s.Verb {
	case "request":
		return Requested{ID: uint64(s.Int("id", 0)), Account: scriptAccount(s), Peers: scriptPeers(s)}
	case "cancel":
		return Canceled{ID: uint64(s.Int("id", 0))}
	case "answer":
		return Answered{VM: s.Name, Answer: Answer{
			Account: s.Text("account", "a"), Number: uint64(s.Int("number", 0)), Tokens: s.Int("tokens", 0),
			Settled: uint64(s.Int("settled", 0)), IsMetered: s.Has("metered"), RetryAfter: s.Duration("retry", 0),
			Step: s.Duration("step", 0),
		}}
	case "metered":
		return MeteringNotified{Account: s.Name, IsMetered: !s.Has("open")}
	default:
		return Woken{}
	}
}

// TestCoordinatorScripts runs the scripted cases of a coordinator; each file says which failure it guards against.
func TestCoordinatorScripts(t *testing.T) {
	scripter.Run(t, "testdata/coordinator-*.txt", func(*testing.T) func(scripter.Step) []string {
		cfg := loadConfig
		cfg.VM = "me"
		coordinator, last := NewCoordinator(cfg), scripter.Epoch
		return func(s scripter.Step) []string {
			texts := []string{}
			// A coordinator that runs is ticked between the steps.
			for ; !s.Has("frozen") && last.Before(s.At); last = last.Add(TickTime) {
				coordinator.Tick(last, true)
			}
			last = s.At
			in := coordinatorInput(s)
			if in == nil {
				coordinator.Tick(s.At, !s.Has("cut"))
				return texts
			}
			for _, out := range coordinator.Handle(s.At, in) {
				switch out := out.(type) {
				case Reply:
					texts = append(texts, fmt.Sprintf("reply %s number=%d tokens=%d settled=%d metered=%v retry=%v", out.To,
						out.Answer.Number, out.Answer.Tokens, out.Answer.Settled, out.Answer.IsMetered,
						out.Answer.RetryAfter.Round(time.Millisecond)))
				case NotifyMetering:
					texts = append(texts, fmt.Sprintf("notify %s metered=%v", out.Account, out.IsMetered))
				case Claim:
					texts = append(texts, fmt.Sprintf("claim %s number=%d", out.To, out.Number))
				case Contest:
					texts = append(texts, "contest "+out.To)
				case Yield:
					texts = append(texts, fmt.Sprintf("yield %s number=%d level=%.1f", out.To, out.Number, out.Level))
				case MeteringChanged:
					texts = append(texts, fmt.Sprintf("changed metered=%v admitted=%d", out.IsMetered, out.Admitted))
				}
			}
			return texts
		}
	})
}

func coordinatorInput(s scripter.Step) CoordinatorInput {
	switch s.Verb {
	case "ask":
		return Asked{Peers: scriptPeers(s), Question: Question{
			VM: s.Name, Incarnation: int64(s.Int("incarnation", 1)), Account: scriptAccount(s), Number: uint64(s.Int("number", 1)),
			Wanted: s.Int("wanted", 0), Taken: uint64(s.Int("taken", 0)), Settled: uint64(s.Int("settled", 0)),
		}}
	case "claimed":
		return Claimed{VM: s.Name, Account: "a", Number: uint64(s.Int("number", 1)), Peers: scriptPeers(s)}
	case "contested":
		return Contested{VM: s.Name, Account: "a"}
	case "yielded":
		return Yielded{VM: s.Name, Account: "a", Number: uint64(s.Int("number", 1)), Level: s.Float("level", 0)}
	default:
		return nil
	}
}
