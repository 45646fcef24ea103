package itemrunner

import (
	"context"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
)

// progress is how far a run has come, for the isolator. Only the goroutine of the run uses it.
type progress struct {
	// first and last are when the run's first and last events came.
	first, last time.Time
	// reportedAt is when the progress was last reported, and events the number of the item's events then.
	reportedAt time.Time
	events     int
}

// recordProgress records an event of a run: one that goes on past the point at which others ended with their endpoints speaks for
// the parts of its prompt before it is complete.
func (r *Runner) recordProgress(t *task, run *itemRun, e relayer.Event) {
	now := time.Now()
	p := &run.progress
	p.last = now
	switch {
	case p.first.IsZero():
		p.first = now
	case now.Sub(p.reportedAt) < quarantiner.SoundTime:
		return
	default:
		r.isolator.Outlived(t.parts, p.events)
	}
	p.reportedAt, p.events = now, int(e.ID+1)
}

// recordBreak records that the run broke off at its endpoint, unless this VM ended it.
func (r *Runner) recordBreak(ctx context.Context, t *task, run *itemRun, hadAnswer bool) {
	if ctx.Err() != nil {
		return
	}
	hasProgress := run.progress.last.Sub(run.progress.first) >= quarantiner.SoundTime
	r.mu.Lock()
	strike := quarantiner.Strike{HadAnswer: hadAnswer, Events: int(t.sequence.Last() + 1)}
	switch {
	case hasProgress && (!run.isProbe || run.isResumed):
		strike.Delay = quarantiner.DelaysNone
	case !run.isProbe:
		strike.Delay = quarantiner.DelaysLater
	}
	r.mu.Unlock()
	r.isolator.RunBrokeOff(run.endpoint, t.parts, strike)
}
