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

// timedServer records how much time the drain of callers gets.
type timedServer struct {
	drained  bool
	timeLeft time.Duration
}

func (s *timedServer) Drain(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	s.drained, s.timeLeft = ctx.Err() == nil, time.Until(deadline)
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
