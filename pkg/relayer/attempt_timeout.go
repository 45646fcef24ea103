package relayer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// attemptTimeoutFactor times the route's objective is how long after the estimate a stream's first event, or a body up to
// maxBufferedBytes, must have come before another endpoint is tried. Without the estimate, requests lost their places in queues.
const attemptTimeoutFactor = 2

// errAttemptTimeout is the cancellation cause of an attempt that exceeded its timeout.
var errAttemptTimeout = errors.New("the endpoint sent nothing in time")

// withAttemptTimeout returns the context of an attempt, which has an attempt timeout only if the request may still be sent to
// another endpoint.
func (q *request) withAttemptTimeout() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(q.ctx)
	if q.route.IsIdempotent() && q.runs < q.route.MaxAttempts && q.route.Objective > 0 && !q.hasAnswer {
		q.attemptTimer = time.AfterFunc(q.estimate+attemptTimeoutFactor*q.route.Objective, func() { cancel(errAttemptTimeout) })
	}
	return ctx, func() {
		q.stopAttemptTimer()
		cancel(nil)
	}
}

func (q *request) stopAttemptTimer() {
	if q.attemptTimer != nil {
		q.attemptTimer.Stop()
	}
}
