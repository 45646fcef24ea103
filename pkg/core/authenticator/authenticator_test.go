package authenticator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// vm is a VM of a script.
type vm struct {
	config    *registrar.Config
	policy    Policy
	freshness Freshness
}

// TestScripts replays what a VM learns of the configuration and the requests that it gets.
func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txt", func(*testing.T) func(scripter.Step) []string {
		v := &vm{config: (&registrar.Config{}).Index()}
		return v.execute
	})
}

func (v *vm) execute(s scripter.Step) []string {
	now := s.At.Sub(scripter.Epoch)
	switch s.Verb {
	case "policy":
		v.policy = Policy{IsStrict: true, RevokeAfter: s.Duration("revoke", 0)}
	case "config":
		v.config = configOf(s.Text("accounts", ""))
	case "watch":
		clock := option.None[time.Duration]()
		if s.Has("store") {
			clock = option.Some(s.Duration("store", 0))
		}
		v.freshness.Observe(s.Duration("sent", 0), now, clock)
	case "request":
		return []string{v.request(s, now)}
	}
	return []string{}
}

// configOf returns a configuration with accounts in the form a:KEY+KEY,b:KEY.
func configOf(text string) *registrar.Config {
	c := &registrar.Config{}
	for n, entry := range strings.Split(text, ",") {
		name, list, ok := strings.Cut(entry, ":")
		if !ok {
			continue
		}
		var keys []registrar.KeyDigest
		for _, key := range strings.Split(list, "+") {
			if key != "" {
				keys = append(keys, registrar.DigestOf(key))
			}
		}
		c.AddAccount(n, registrar.Account{Name: name}, keys)
	}
	return c.Index()
}

func (v *vm) request(s scripter.Step, now time.Duration) string {
	f := Facts{Config: v.config, IsPublic: s.Has("public")}
	if s.Has("key") {
		f.Key = option.Some(registrar.DigestOf(s.Text("key", "")))
	}
	asOf, isKnown := v.freshness.AsOf()
	f.IsStale = v.policy.IsStale(now, asOf, isKnown)
	switch d := Decide(f).(type) {
	case Accepted:
		return "accepted " + d.Account.Name
	case Anonymous:
		return "anonymous"
	case Unknown:
		return "unknown"
	default:
		return "stale"
	}
}

// TestKnowledgeIsNeverTooNew draws watches with a store whose clock drifts and restarts: a VM must never count its configuration
// as newer than the store's last answer, which would let a revoked key pass.
func TestKnowledgeIsNeverTooNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		drift := float64(rapid.IntRange(-400, 400).Draw(t, "drift")) * 1e-6
		f, now, zero := Freshness{}, time.Hour, time.Duration(0)
		for n := range 40 {
			now += ms("pause", 90_000)
			if rapid.IntRange(0, 9).Draw(t, "restarts") == 0 {
				zero = now
			}
			sentAt := now
			answeredAt := sentAt + ms("wait", 1500)
			now = answeredAt + ms("way back", 4000)
			clock := time.Duration(float64(answeredAt-zero) * (1 + drift)).Truncate(time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "hides") == 0 {
				f.Observe(sentAt, now, option.None[time.Duration]())
			} else {
				f.Observe(sentAt, now, option.Some(clock))
			}
			asOf, ok := f.AsOf()
			assert.True(t, ok)
			assert.LessOrEqual(t, asOf, answeredAt, "call %d", n)
			assert.GreaterOrEqual(t, asOf, sentAt, "call %d", n)
		}
	})
}

// TestMarginsOfThePolicy checks that a VM which loses the store between two watches serves for six tenths of the bound.
func TestMarginsOfThePolicy(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 5 * time.Second, time.Minute} {
		p := Policy{IsStrict: true, RevokeAfter: bound}
		assert.GreaterOrEqual(t, p.MaxAge()-p.MaxWatch(), bound*6/10, fmt.Sprint(bound))
		assert.Less(t, p.MaxAge(), bound)
	}
}
