// Package pauser waits for a time or for the end of a context.
package pauser

import (
	"context"
	"time"
)

// Pause waits for d and says whether it passed before ctx ended.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
