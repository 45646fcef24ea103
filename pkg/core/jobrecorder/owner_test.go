package jobrecorder

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestOwnerOfCalls guards against calls about a job that are answered by a route, and requests of a route by the jobs.
func TestOwnerOfCalls(t *testing.T) {
	current := CallFacts{IsSynced: true, IsFollowing: true, IsCurrent: true}
	for _, c := range []struct {
		name  string
		facts func(f *CallFacts)
		owner Owner
	}{
		{"a host that never had jobs", func(*CallFacts) {}, OwnedByRoute},
		{"a job whose route is gone", func(f *CallFacts) { f.IsJobCached, f.HasJobs = true, true }, OwnedByJob},
		{"a job below a route of the calls' paths", func(f *CallFacts) { f.IsJobCached, f.HasOwnRoute = true, true }, OwnedByJob},
		{"another job of its host", func(f *CallFacts) { f.HasJobs = true }, OwnedByJob},
		{"a host with a batch route", func(f *CallFacts) { f.HasBatchRoute, f.HasOwnRoute = true, true }, OwnedByJob},
		{"a route of the calls' paths", func(f *CallFacts) { f.HasJobs, f.HasOwnRoute = true, true }, OwnedByRoute},
		{"a route of the calls' paths in an outage", func(f *CallFacts) { f.HasOwnRoute, f.IsFollowing = true, false }, OwnedByRoute},
		{"an outage", func(f *CallFacts) { f.HasRoute, f.IsFollowing = true, false }, OwnerUnknown},
		{"jobs read some time ago", func(f *CallFacts) { f.IsCurrent = false }, OwnerInStore},
		{"jobs read some time ago, and a route", func(f *CallFacts) { f.HasRoute, f.IsCurrent = true, false }, OwnedByRoute},
		{"jobs never read", func(f *CallFacts) { f.HasOwnRoute, f.IsSynced = true, false }, OwnerUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := current
			c.facts(&f)
			assert.Equal(t, c.owner, f.Owner())
		})
	}
}
