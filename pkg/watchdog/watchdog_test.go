package watchdog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testLimits = Limits{Answer: 2 * time.Second, Stall: 500 * time.Millisecond, Total: 10 * time.Second}

// TestCallsAreEndedByTheirProgress checks for calls of several speeds when, and with which error, they are ended.
func TestCallsAreEndedByTheirProgress(t *testing.T) {
	for _, c := range []struct {
		name string
		// sent and received are the pauses before parts of the request and of the answer.
		sent, received []time.Duration
		after          time.Duration
		want           StallError
	}{
		{"no answer", nil, nil, 2 * time.Second, StallError{After: 2 * time.Second}},
		{
			"no answer to a request that took long",
			[]time.Duration{1500 * time.Millisecond, 1500 * time.Millisecond},
			nil,
			5 * time.Second,
			StallError{After: 2 * time.Second},
		},
		{
			"an answer that stops", nil,
			[]time.Duration{time.Second, 400 * time.Millisecond, 400 * time.Millisecond},
			2300 * time.Millisecond,
			StallError{After: 500 * time.Millisecond, Bytes: 3},
		},
		{
			"an answer without end", nil, repeat(450*time.Millisecond, 30), 10 * time.Second,
			StallError{After: 10 * time.Second, Bytes: 22, IsTotal: true},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, w := Start(t.Context(), testLimits)
				defer w.Stop()
				for _, pause := range c.sent {
					time.Sleep(pause)
					w.Sent()
				}
				for _, pause := range c.received {
					if !sleep(ctx, pause) {
						break
					}
					w.Received(1)
				}
				<-ctx.Done()
				assert.Equal(t, c.after, time.Since(start))
				stall := (*StallError)(nil)
				require.ErrorAs(t, context.Cause(ctx), &stall)
				assert.Equal(t, c.want, *stall)
				assert.True(t, stall.Timeout())
			})
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	pauses := make([]time.Duration, n)
	for i := range pauses {
		pauses[i] = d
	}
	return pauses
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// TestStoppedCallIsNoStall checks that the end of a call leaves no timer and no StallError.
func TestStoppedCallIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, w := Start(t.Context(), testLimits)
		w.Stop()
		time.Sleep(time.Minute)
		assert.ErrorIs(t, context.Cause(ctx), context.Canceled)
	})
}

// TestCallersMayLimitTheWaitForAnAnswer checks that a caller's limit ends a call without an answer, and no other.
func TestCallersMayLimitTheWaitForAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, w := Start(LimitAnswer(t.Context(), time.Second), testLimits)
		defer w.Stop()
		time.Sleep(900 * time.Millisecond)
		w.Received(1)
		time.Sleep(400 * time.Millisecond)
		assert.NoError(t, ctx.Err())
		ctx, w = Start(LimitAnswer(t.Context(), time.Second), testLimits)
		defer w.Stop()
		time.Sleep(1100 * time.Millisecond)
		assert.Error(t, ctx.Err())
	})
}
