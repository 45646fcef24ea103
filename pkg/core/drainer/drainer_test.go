package drainer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

// TestScripts replays the load patterns of the scripts.
func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txt", func(*testing.T) func(scripter.Step) []string {
		d := Drain{}
		return func(s scripter.Step) []string {
			if s.Verb == "stop" {
				d = Drain{Begun: s.At, End: s.At.Add(s.Duration("end", 0)), Propagation: s.Duration("propagation", 0)}
				return []string{}
			}
			if d.Accepts(s.At, s.At.Add(s.Duration("limit", 0))) {
				return []string{"accepted"}
			}
			return []string{"refused"}
		}
	})
}

// TestNoRequestOutlastsTheStop draws stops and requests: one that arrives after the propagation time and is accepted may not last
// beyond the end, and once a request is refused, no later one with the same limit is accepted.
func TestNoRequestOutlastsTheStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 20_000).Draw(t, name)) * time.Millisecond
		}
		d := Drain{Begun: scripter.Epoch, End: scripter.Epoch.Add(ms("end")), Propagation: ms("propagation")}
		limit := ms("limit")
		hasRefused := false
		for now := scripter.Epoch; now.Before(scripter.Epoch.Add(20 * time.Second)); now = now.Add(250 * time.Millisecond) {
			isAccepted := d.Accepts(now, now.Add(limit))
			if isAccepted && now.Sub(d.Begun) > d.Propagation {
				assert.False(t, now.Add(limit).After(d.End))
			}
			assert.False(t, hasRefused && isAccepted)
			hasRefused = hasRefused || !isAccepted
		}
	})
}
