package detector

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

// TestScripts plays updates to one detector whose VM is "self". The verbs:
//
//	listed NAME incarnation=N          the platform's list holds the VM
//	heard NAME state=S incarnation=N [partitioned]   an update of the VM is received; NAME may be self
//	partitioned, in-touch              this VM says so
//	leave                              this VM leaves
//	wake                               the time of the next round has come
//	show NAME                          the state of the VM
//
// The outputs are the changes of members; messages are left out.
func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txt", func(t *testing.T) func(scripter.Step) []string {
		addr := netip.MustParseAddrPort("10.0.0.1:1")
		d := New(DefaultConfig(Member{VM: "self", Address: addr, Incarnation: 10}), rand.New(rand.NewPCG(1, 1)))
		return func(s scripter.Step) []string {
			incarnation := uint64(s.Int("incarnation", 0))
			var in Input
			switch s.Verb {
			case "listed":
				in = Listed{Members: []Member{{VM: s.Name, Address: addr, Incarnation: incarnation}}}
			case "heard":
				m := Member{
					VM: s.Name, Address: addr, State: stateNamed(t, s.Text("state", "alive")), Incarnation: incarnation,
					IsPartitioned: s.Has("partitioned"),
				}
				from := Member{VM: "helper", Address: addr, State: Alive, Incarnation: 1}
				in = Received{From: addr, Message: Probe{Gossip: Gossip{From: from, Members: []Member{m}}}}
			case "partitioned", "in-touch":
				in = PartitionChanged{IsPartitioned: s.Verb == "partitioned"}
			case "leave":
				in = LeaveOrdered{}
			case "wake":
				in = Woken{}
			case "show":
				return showMember(d, s.Name)
			default:
				require.Failf(t, "unknown verb", "line %d: %s", s.Line, s.Verb)
			}
			out := []string{}
			for _, o := range d.Handle(s.At, in) {
				if c, ok := o.(Changed); ok && c.Member.VM != "helper" {
					out = append(out, describe(c.Member))
				}
			}
			return out
		}
	})
}

func stateNamed(t *testing.T, name string) State {
	t.Helper()
	for s := Alive; s <= Lost; s++ {
		if s.String() == name {
			return s
		}
	}
	require.Failf(t, "unknown state", "%s", name)
	return Lost
}

func describe(m Member) string {
	text := fmt.Sprintf("%s %s at %d", m.VM, m.State, m.Incarnation)
	switch {
	case m.CountsAsPartitioned():
		return text + ", partitioned"
	case m.IsPartitioned:
		return text + ", was partitioned"
	default:
		return text
	}
}

func showMember(d *Detector, vm string) []string {
	for _, m := range d.Members() {
		if m.VM == vm {
			return []string{describe(m)}
		}
	}
	return []string{"unknown"}
}
