package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether it elapsed before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every calls f once per interval until ctx ends; the first call comes after one interval.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f(now)
		}
	}
}
