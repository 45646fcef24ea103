package bodyreader

import (
	"context"
	"math"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/budgeter"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	// checkInterval is the time between two checks for stalled bodies.
	checkInterval = time.Second
	// returnPause is the time between two returns of memory to the system, each of which collects all garbage. busyShare is the
	// part of the budget above which the VM is too busy for one, and leftShare the part by which memory must have grown since the
	// last one. The process of the smallest VM grows by less between two collections.
	returnPause = 15 * time.Second
	busyShare   = 0.25
	leftShare   = 0.75
)

// Counters count what happened to bodies since the start.
type Counters struct {
	// NoRoom counts the requests refused since the budget was used up, Shed the incomplete bodies given up for others, Stalled those
	// that made no progress for too long.
	NoRoom, Shed, Stalled atomic.Int64
}

// Reader reads bodies within a budget. A nil Reader has no budget.
type Reader struct {
	Counters Counters

	mu     sync.Mutex
	core   *budgeter.Budgeter
	limits budgeter.Limits
	// left is the memory that the process had at the start, or after the last return of memory, at returnedAt.
	left       int64
	returnedAt time.Time
}

// New returns a reader whose budget has these limits.
func New(l budgeter.Limits) *Reader {
	return &Reader{core: budgeter.New(l), limits: l}
}

// SetLimits replaces the limits of the budget.
func (b *Reader) SetLimits(l budgeter.Limits) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
	b.core.SetLimits(l)
}

// Held returns the bytes of the budget that are held.
func (b *Reader) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Held()
}

// AnswerTimeout returns how long an answer that the caller does not take may make no progress.
func (b *Reader) AnswerTimeout(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.AnswerTimeout(now)
}

// Start gives stalled bodies up until ctx ends.
func (b *Reader) Start(ctx context.Context) {
	b.left = usedMemory()
	go b.run(ctx)
}

func (b *Reader) run(ctx context.Context) {
	sleeper.Every(ctx, checkInterval, b.check)
}

// check gives stalled bodies up, and returns memory to the system once a crowd has left.
//
// The garbage of a crowd would otherwise stay until the next collection, which may be two minutes away in a VM that is at rest.
func (b *Reader) check(now time.Time) {
	b.mu.Lock()
	stalled := b.core.Stalled(now)
	isQuiet := float64(b.core.Held()) < busyShare*float64(b.limits.Bytes) && now.Sub(b.returnedAt) > returnPause
	limit := b.left + int64(leftShare*float64(b.limits.Bytes))
	b.mu.Unlock()
	for _, h := range stalled {
		b.Counters.Stalled.Add(1)
		h.Owner.(*Lease).interrupt(&StalledError{})
	}
	if !isQuiet {
		return
	}
	if usedMemory() > limit {
		debug.FreeOSMemory()
		b.left, b.returnedAt = usedMemory(), now
	}
}

// usedMemory returns the memory of the Go runtime that has not been returned to the system.
func usedMemory() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	used := samples[0].Value.Uint64() - samples[1].Value.Uint64()
	return int64(min(used, math.MaxInt64))
}

// reserve adds n bytes to the lease, or returns a *NoRoomError.
func (b *Reader) reserve(l *Lease, n int64) error {
	now := time.Now()
	b.mu.Lock()
	v := b.core.Reserve(now, l.hold, n)
	b.mu.Unlock()
	switch v := v.(type) {
	case budgeter.Refused:
		if err := l.reason(); err != nil {
			return err
		}
		b.Counters.NoRoom.Add(1)
		return &NoRoomError{RetryAfter: v.RetryAfter}
	case budgeter.Granted:
		for _, h := range v.Shed {
			b.Counters.Shed.Add(1)
			h.Owner.(*Lease).interrupt(&NoRoomError{RetryAfter: shedRetryAfter, WasIncomplete: true})
		}
	}
	return nil
}

// shedRetryAfter is the Retry-After for a body that was given up for others. They need some time for theirs.
const shedRetryAfter = 500 * time.Millisecond
