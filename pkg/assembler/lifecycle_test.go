package assembler

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stuckBatch is batch work that is not released in the time of the stop.
type stuckBatch struct{}

func (stuckBatch) Stop(ctx context.Context) { <-ctx.Done() }

// timedServer records how much time the drain of callers and the rest of the requests get; the drain takes its whole time if it
// isSlow.
type timedServer struct {
	isSlow             bool
	drained            bool
	timeLeft, atTheEnd time.Duration
}

func (s *timedServer) Drain(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	s.drained, s.timeLeft = ctx.Err() == nil, time.Until(deadline)
	if s.isSlow {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (s *timedServer) Stop(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	s.atTheEnd = time.Until(deadline)
	return ctx.Err()
}

// TestStuckBatchTakesNoTimeFromCallers stops a VM whose batch work is not released; the drain of callers must have its full time.
func TestStuckBatchTakesNoTimeFromCallers(t *testing.T) {
	t.Parallel()
	const limit = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), leavePropagationTime+limit)
	defer cancel()
	s := &timedServer{}
	require.NoError(t, drain(ctx, limit, s, stuckBatch{}))
	assert.True(t, s.drained)
	assert.Greater(t, s.timeLeft, limit-500*time.Millisecond)
}

type idleBatch struct{}

func (idleBatch) Stop(context.Context) {}

// TestSlowCallersLeaveTimeForOperators drains a VM whose callers take the whole limit; operators' calls must have time after it.
func TestSlowCallersLeaveTimeForOperators(t *testing.T) {
	t.Parallel()
	s := &timedServer{isSlow: true}
	require.ErrorIs(t, drain(context.Background(), 100*time.Millisecond, s, idleBatch{}), context.DeadlineExceeded)
	assert.Greater(t, s.atTheEnd, finishTime-time.Second)
}
