package itemrunner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// TestQuarantinedItemWaitsDespiteOtherClocks guards against an item that is abandoned too early since the clock of the VM that
// accepted its job was behind that of the VM that runs it.
func TestQuarantinedItemWaitsDespiteOtherClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		vms, store := newTestVMs(ctx, t, 1)
		r := vms[0].runner
		r.ctx = ctx
		store.Put("job", testPartition(), testJob, jobrecorder.Job{
			ID: testJob, Tokens: []int64{1}, ItemRows: 1, Submitted: time.Now().Add(-time.Hour).UnixMilli(),
			Holder: jobrecorder.VMRef{VM: "v0", Incarnation: 1},
		})
		time.Sleep(feedDelay)
		vms[0].sync(ctx)
		item := r.jobs[testJob].tasks[0]
		require.NotNil(t, item)
		route := registrar.Route{AbandonAfter: 20 * time.Second}
		r.abandonIfOverdue(item, route, "part", time.Now())
		assert.False(t, item.isOver, "abandoned before the route allows it")
		time.Sleep(route.AbandonAfter)
		r.abandonIfOverdue(item, route, "part", time.Now())
		assert.True(t, item.isOver)
		time.Sleep(feedDelay)
		cancel()
		synctest.Wait()
	})
}
