package watchdog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits bound a call.
type Limits struct {
	// Answer is the longest wait for the first byte of the answer, from the call's start or the last byte of the request.
	Answer time.Duration
	// Stall is the longest time between two parts of the answer.
	Stall time.Duration
	// Total bounds the whole call, whatever its progress.
	Total time.Duration
}

// StallError says that a call made no progress for the time After, or took longer than its total limit, once it had brought
// Bytes bytes of its answer.
type StallError struct {
	After time.Duration
	Bytes int64
	// IsTotal says that the call was still making progress when its total limit was reached.
	IsTotal bool
}

func (e *StallError) Error() string {
	if e.IsTotal {
		return fmt.Sprintf("not complete after %s, %d bytes received", e.After, e.Bytes)
	}
	return fmt.Sprintf("no progress for %s, %d bytes received", e.After, e.Bytes)
}

// Timeout says that a StallError is a time-out.
func (e *StallError) Timeout() bool { return true }

// Watchdog ends the context of one call when the call makes no progress.
type Watchdog struct {
	limits Limits
	cancel context.CancelCauseFunc
	endsAt time.Time

	mu    sync.Mutex
	timer *time.Timer
	// limit is what the timer waits for, dueAt when it ends the call.
	limit time.Duration
	dueAt time.Time
	bytes int64
}

type (
	answerKey struct{}
	ownKey    struct{}
)

// LimitAnswer returns a context whose calls wait at most d for the beginning of their answers; a large answer may take longer.
func LimitAnswer(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, answerKey{}, d)
}

// Start returns a context for a call that begins now. Stop is to be called at the call's end.
func Start(ctx context.Context, l Limits) (context.Context, *Watchdog) {
	if d, ok := ctx.Value(answerKey{}).(time.Duration); ok {
		l.Answer = min(l.Answer, d)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	w := &Watchdog{limits: l, cancel: cancel, endsAt: time.Now().Add(l.Total)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(l.Answer, w.expire)
	w.wait(l.Answer)
	return context.WithValue(ctx, ownKey{}, w), w
}

// Of returns the watchdog of the call that the context is for; nil if it has none.
func Of(ctx context.Context) *Watchdog {
	w, _ := ctx.Value(ownKey{}).(*Watchdog)
	return w
}

// wait sets the time at which the call ends without further progress; the lock is held.
func (w *Watchdog) wait(limit time.Duration) {
	w.limit, w.dueAt = limit, time.Now().Add(limit)
	if w.dueAt.After(w.endsAt) {
		w.dueAt = w.endsAt
	}
	w.timer.Reset(time.Until(w.dueAt))
}

func (w *Watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.dueAt) {
		// There was progress while the timer ended.
		return
	}
	if w.dueAt.Equal(w.endsAt) {
		w.cancel(&StallError{After: w.limits.Total, Bytes: w.bytes, IsTotal: true})
		return
	}
	w.cancel(&StallError{After: w.limit, Bytes: w.bytes})
}

// Received records n bytes of the answer.
func (w *Watchdog) Received(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes += int64(n)
	w.wait(w.limits.Stall)
}

// Sent records that a part of the request was sent.
func (w *Watchdog) Sent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wait(w.limits.Answer)
}

// Stop ends the call's context.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// Answer returns a reader of the answer that records its progress.
func (w *Watchdog) Answer(r io.Reader) io.Reader { return &reader{r, w.Received} }

// Request returns a reader of the request that records its progress.
func (w *Watchdog) Request(r io.Reader) io.Reader {
	return &reader{r, func(int) { w.Sent() }}
}

// maxRead bounds a read: a reader of a chunked body fills a larger buffer before it returns, and shows no progress until then.
const maxRead = 16 << 10

type reader struct {
	io.Reader
	onRead func(n int)
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), maxRead)])
	if n > 0 {
		r.onRead(n)
	}
	return n, err
}
