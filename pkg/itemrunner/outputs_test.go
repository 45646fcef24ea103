package itemrunner

import (
	"bytes"
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
)

// begin starts a run of the task that no endpoint sees.
func begin(t *task) *itemRun {
	t.run = &itemRun{
		endpoint: registrar.Endpoint{ID: "e"}, ticket: &placer.Ticket{}, cancel: func(error) {}, started: time.Now(),
		firstEvent: continuer.NoEvent,
	}
	return t.run
}

// TestOutputThatIsTooLongIsBegunAnew has an endpoint send events without end: the item's next run, at a sound endpoint, can
// complete.
func TestOutputThatIsTooLongIsBegunAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		vms, _ := newTestVMs(ctx, t, 1)
		v, outcomes := vms[0], runOutcomes{}
		log, _ := logtest.NewNullLogger()
		v.runner.metrics, v.runner.log = outcomes, log
		v.runner.balancer = balancer.New(balancer.Config{}, nil, rand.New(rand.NewPCG(1, 1)), log)
		v.load(ctx)
		run := begin(v.task)
		var err error
		for id := int64(0); err == nil && id < 2*maxOutputBytes; id++ {
			err = v.runner.appendEvent(v.task, run, relayer.Event{ID: id, Data: bytes.Repeat([]byte("x"), 64<<10)})
		}
		require.ErrorContains(t, err, "1048576 bytes")
		v.runner.recordEnd(v.task, run, registrar.Route{}, err, nil, true)
		v.task.run = nil
		assert.Equal(t, continuer.NoEvent, v.task.sequence.Last(), "the next run goes on with the output of the faulty endpoint")
		v.run(3, 1, "1")
		assert.Equal(t, "0.1\n1.2\n2.3", string(v.task.output))
		cancel()
		synctest.Wait()
	})
}
