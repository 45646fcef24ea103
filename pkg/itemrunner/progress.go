package itemrunner

import (
	"context"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
)

// recordProgress records an event of a run.
func (r *Runner) recordProgress(t *task, run *itemRun, e relayer.Event) {
	if outlived := run.progress.Event(time.Now(), int(e.ID+1)); outlived > 0 {
		r.isolator.Outlived(t.parts, outlived)
	}
}

// recordBreak records that the run broke off at its endpoint, unless this VM ended it or reaches no endpoint.
func (r *Runner) recordBreak(ctx context.Context, t *task, run *itemRun, hadAnswer bool) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	if r.isPartitioned {
		r.mu.Unlock()
		return
	}
	strike := quarantiner.Strike{HadAnswer: hadAnswer, Events: int(t.sequence.Last() + 1)}
	switch {
	case run.progress.IsSound() && (run.trial == nil || run.isResumed):
		strike.Delay = quarantiner.DelaysNone
	case run.trial == nil:
		strike.Delay = quarantiner.DelaysLater
	}
	if run.trial != nil {
		run.trial.hasBroken = true
	}
	parts := run.witnesses(t.parts)
	r.mu.Unlock()
	r.isolator.BrokeOff(run.endpoint, parts, strike)
}
