package segmentrunner

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/batcher"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// loopClaim polls for jobs and claims segments for the models that have too few waiting items.
func (r *Runner) loopClaim(ctx context.Context) {
	for {
		r.mu.Lock()
		jitter := time.Duration(r.random.Int64N(int64(r.cfg.PollEvery)))
		r.mu.Unlock()
		if !waitFor(ctx, r.claimSignal, r.cfg.PollEvery/2+jitter) {
			return
		}
		if r.refreshJobs(ctx) {
			r.claimNeeded(ctx)
		}
	}
}

// refreshJobs reads the active jobs if their list has changed and ranks them by slack; it reports whether the store answered.
func (r *Runner) refreshJobs(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch, err := r.archiver.Epoch(ctx)
	if err == nil && epoch != r.epoch {
		err = r.readJobs(ctx, epoch)
	}
	if err != nil {
		r.log.WithError(err).Debug("active jobs not read from the store; retrying at the next poll")
		return false
	}
	r.rankJobs()
	return true
}

func (r *Runner) readJobs(ctx context.Context, epoch int64) error {
	rows, err := r.archiver.ActiveJobs(ctx)
	if err != nil {
		return err
	}
	r.epoch = epoch
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows = map[string]archiver.ActiveRow{}
	for _, row := range rows {
		r.rows[row.ID] = row
	}
	r.dropEndedJobs()
	return nil
}

func (r *Runner) rankJobs() {
	r.mu.Lock()
	defer r.mu.Unlock()
	jobs := make([]batcher.Job, 0, len(r.rows))
	for _, row := range r.rows {
		left, ok := r.remaining[row.ID]
		if !ok {
			left = row.Lines
		}
		jobs = append(jobs, batcher.Job{ID: row.ID, Model: row.Model, Due: row.Due, Remaining: left})
	}
	r.jobs = batcher.Rank(time.Now(), jobs, r.rates)
}

// dropEndedJobs drops the state of jobs that are no longer listed, and cancels the items of their segments: the job may have
// been cancelled. It is called with the lock held.
func (r *Runner) dropEndedJobs() {
	for id := range r.remaining {
		if _, ok := r.rows[id]; !ok {
			delete(r.remaining, id)
			delete(r.skipUntil, id)
			r.rates.Forget(id)
		}
	}
	for key, seg := range r.held {
		if _, ok := r.rows[seg.job.ID]; ok || seg.isCommitting {
			continue
		}
		delete(r.held, key)
		for _, it := range r.items {
			if it.seg == seg {
				it.cancel()
			}
		}
	}
}

// claimNeeded claims segments for each served model until it has enough items; the job with the least slack comes first.
func (r *Runner) claimNeeded(ctx context.Context) {
	for model := range r.servedModels() {
		for r.needsItems(model) {
			job, ok := r.nextJob(model)
			if !ok {
				break
			}
			r.claimFrom(ctx, job)
		}
	}
}

// needsItems reports whether the held segments have fewer waiting items of the model than twice the slots of its endpoints. It
// returns false while the runner may not claim another segment.
func (r *Runner) needsItems(model string) bool {
	want := 0
	for _, e := range r.fleet.AllocatedEndpoints() {
		for _, m := range e.Models {
			if m == model {
				want += 2 * e.Slots
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isStopping || len(r.held) >= maxHeldSegments || r.archiver.IsLinkSaturated() {
		return false
	}
	for _, seg := range r.held {
		if seg.job.File.Model == model {
			want -= seg.tracker.Pending()
		}
	}
	return want > 0
}

// nextJob returns the job of the model with the least slack that is not skipped at present.
func (r *Runner) nextJob(model string) (archiver.ActiveRow, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, j := range r.jobs {
		if j.Model == model && now.After(r.skipUntil[j.ID]) {
			return r.rows[j.ID], true
		}
	}
	return archiver.ActiveRow{}, false
}

// claimFrom claims one segment of the job; a job without a free segment is skipped for a while.
//
// A claim that has begun is completed even if the runner stops, so that its lease is known and released.
func (r *Runner) claimFrom(ctx context.Context, job archiver.ActiveRow) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	isClaimed, err := r.tryClaim(ctx, job)
	if err != nil {
		r.log.WithError(err).WithField("batch", job.ID).Debug("segment not claimed; skipping the batch job for a while")
	}
	if isClaimed {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	pause := r.cfg.LeaseRenew/2 + time.Duration(r.random.Int64N(int64(r.cfg.LeaseRenew)))
	if !r.fleet.IsLeaseWatcher(job.ID) {
		pause *= nonWatcherFactor
	}
	r.skipUntil[job.ID] = time.Now().Add(pause)
}

// tryClaim claims a free segment of the job; it finishes the job instead if all segments are done.
func (r *Runner) tryClaim(ctx context.Context, job archiver.ActiveRow) (bool, error) {
	segments, err := r.archiver.Segments(ctx, job.ID)
	if err != nil {
		return false, err
	}
	if segments.Done() == job.Parts {
		_, err := r.archiver.FinishJob(ctx, job.Account, job.ID, time.Now())
		return false, err
	}
	r.observe(job, segments)
	n, ok := r.chooseFree(job, segments)
	if !ok {
		return false, nil
	}
	return r.claim(ctx, job, n, segments[n])
}

// observe updates the job's remaining items and its rate.
func (r *Runner) observe(job archiver.ActiveRow, segments archiver.Segments) {
	completed, failed := segments.Counts()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remaining[job.ID] = job.Lines - completed - failed
	r.rates.Observe(time.Now(), job.ID, completed+failed)
}

// chooseFree returns a random segment among those without a holder or with an expired lease; a random choice makes it rare that
// two VMs claim the same one.
func (r *Runner) chooseFree(job archiver.ActiveRow, segments archiver.Segments) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	free := []int{}
	for n := range job.Parts {
		row, ok := segments[n]
		key := archiver.SegmentKey(job.ID, n)
		switch {
		case !ok:
			free = append(free, n)
		case row.State == batcher.SegmentDone || r.held[key] != nil:
			r.watch.Forget(key)
		case row.Holder == "" || r.watch.IsExpired(now, key, row.Version):
			free = append(free, n)
		}
	}
	if len(free) == 0 {
		return 0, false
	}
	return free[r.random.IntN(len(free))], true
}

// claim writes this VM's lease with a higher fence and loads the segment with the last holder's checkpoint. It also returns true
// if another VM claimed the segment first, so that the job is not skipped.
func (r *Runner) claim(ctx context.Context, job archiver.ActiveRow, n int, old archiver.VersionedSegment) (bool, error) {
	row := batcher.SegmentRow{
		Holder: r.holder, Fence: old.Fence + 1, State: batcher.SegmentRunning, Checkpoint: old.Checkpoint,
		Attempts: old.Attempts,
	}
	version, err := r.archiver.WriteSegment(ctx, job.ID, n, row, old.Version)
	if conflict := (*storer.ConflictError)(nil); errors.As(err, &conflict) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	seg := &heldSegment{number: n, row: row, version: version}
	if err := r.load(ctx, seg, job); err != nil {
		row.Holder = ""
		_, _ = r.archiver.WriteSegment(ctx, job.ID, n, row, version)
		return false, err
	}
	r.mu.Lock()
	r.held[seg.key()] = seg
	r.watch.Forget(seg.key())
	r.mu.Unlock()
	r.Counts.SegmentsClaimed.Add(1)
	r.log.WithFields(logrus.Fields{"segment": seg.key(), "fence": row.Fence}).Info("segment claimed")
	notify(r.feedSignal)
	return true, nil
}

// load reads the segment's job, its items and the results of its checkpoint.
func (r *Runner) load(ctx context.Context, seg *heldSegment, from archiver.ActiveRow) error {
	job, version, err := r.archiver.Job(ctx, from.Account, from.ID)
	if err != nil {
		return err
	}
	if job.State != archiver.JobRunning {
		return errors.Errorf("batch job %s can't be loaded: its state is %s", job.ID, job.State)
	}
	seg.job, seg.jobVersion = job, version
	if seg.lines, err = r.archiver.Part(ctx, job.File.Upload, seg.number); err != nil {
		return err
	}
	done := []batcher.ItemResult{}
	if seg.row.Checkpoint != "" {
		if done, err = r.archiver.Results(ctx, seg.row.Checkpoint); err != nil {
			return err
		}
	}
	seg.tracker = batcher.NewSegment(len(seg.lines), r.fleet.BatchPolicy().ItemAttempts, done)
	seg.tracker.RestoreAttempts(seg.row.Attempts)
	return nil
}
