package configurator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
)

var epoch = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

// TestNeverReverts runs stale reads, late and lost snapshots and heads from peers in any order.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(4*time.Second, rand.New(rand.NewPCG(1, 2)))
		now, last := epoch, int64(0)
		newest := int64(1)
		fetches := []Fetch{}
		perform := func(outs []Output) {
			for _, out := range outs {
				switch out := out.(type) {
				case Fetch:
					fetches = append(fetches, out)
				case Apply:
					require.Greater(t, out.Head.Revision, last, "the applied revision did not increase")
					require.Equal(t, out.Head.Hash, out.Snapshot.Models[0].Name, "the snapshot belongs to another revision")
					last = out.Head.Revision
				}
			}
		}
		hashOf := func(revision int64) string { return string(rune('a' + revision/2)) }
		snapshotOf := func(hash string) declarer.Snapshot {
			return declarer.Snapshot{Models: []declarer.Model{{Meta: declarer.Meta{Name: hash}}}}
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) { newest++ },
			"see": func(t *rapid.T) {
				revision := rapid.Int64Range(1, newest).Draw(t, "revision")
				peer := rapid.SampledFrom([]string{"", "vm-2"}).Draw(t, "peer")
				perform(c.Handle(now, HeadObserved{Head: Head{Revision: revision, Hash: hashOf(revision)}, Peer: peer}))
			},
			"wake": func(*rapid.T) {
				if at, ok := c.NextWake().Get(); ok && at.After(now) {
					now = at
				}
				perform(c.Handle(now, Woken{}))
			},
			"fetched": func(t *rapid.T) {
				if len(fetches) == 0 {
					return
				}
				i := rapid.IntRange(0, len(fetches)-1).Draw(t, "which")
				if rapid.Bool().Draw(t, "ok") {
					perform(c.Handle(now, SnapshotFetched{Hash: fetches[i].Hash, Snapshot: snapshotOf(fetches[i].Hash)}))
				} else {
					perform(c.Handle(now, FetchFailed{Hash: fetches[i].Hash}))
				}
			},
		})
		// Without further heads, the newest one becomes active.
		perform(c.Handle(now, HeadObserved{Head: Head{Revision: newest, Hash: hashOf(newest)}}))
		for range 10 {
			if at, ok := c.NextWake().Get(); ok && at.After(now) {
				now = at
			}
			perform(c.Handle(now, Woken{}))
			if len(fetches) > 0 {
				hash := fetches[len(fetches)-1].Hash
				perform(c.Handle(now, SnapshotFetched{Hash: hash, Snapshot: snapshotOf(hash)}))
			}
		}
		require.Equal(t, newest, c.Active().Revision)
	})
}
