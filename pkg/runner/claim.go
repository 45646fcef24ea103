package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/batcher"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// loopClaim looks for jobs and takes up segments while the keepers have room for more items.
func (r *Runner) loopClaim(ctx context.Context) {
	for {
		r.mu.Lock()
		jitter := time.Duration(r.random.Int64N(int64(r.cfg.PollEvery)))
		r.mu.Unlock()
		if !wait(ctx, r.claimPoke, r.cfg.PollEvery/2+jitter) {
			return
		}
		if r.refreshJobs(ctx) {
			r.claimWanted(ctx)
		}
	}
}

// refreshJobs reads the active jobs if their list has changed, and ranks them by slack.
func (r *Runner) refreshJobs(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch, err := r.archiver.Epoch(ctx)
	if err == nil && epoch != r.epoch {
		err = r.readJobs(ctx, epoch)
	}
	if err != nil {
		r.log.WithError(err).Debug("jobs not listed")
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
	r.forgetEnded()
	return nil
}

func (r *Runner) rankJobs() {
	r.mu.Lock()
	defer r.mu.Unlock()
	jobs := make([]batcher.Job, 0, len(r.rows))
	for _, row := range r.rows {
		left, ok := r.left[row.ID]
		if !ok {
			left = row.Lines
		}
		jobs = append(jobs, batcher.Job{ID: row.ID, Model: row.Model, Due: row.Due, Remaining: left})
	}
	r.jobs = batcher.Rank(time.Now(), jobs, r.rates)
}

// forgetEnded drops what is known of jobs that are no longer listed; the segments of a cancelled job stop.
func (r *Runner) forgetEnded() {
	for id := range r.left {
		if _, ok := r.rows[id]; !ok {
			delete(r.left, id)
			delete(r.restTill, id)
			r.rates.Forget(id)
		}
	}
	for key, seg := range r.held {
		if _, ok := r.rows[seg.job.ID]; ok || seg.inCommit {
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

// claimWanted takes up one segment for each model that runs short, the job with the least slack first.
func (r *Runner) claimWanted(ctx context.Context) {
	for model := range r.servedModels() {
		for r.isShort(model) {
			job, ok := r.nextJob(model)
			if !ok {
				break
			}
			r.claimFrom(ctx, job)
		}
	}
}

// isShort reports whether the held segments have fewer items to give than two rounds of the endpoints' slots.
func (r *Runner) isShort(model string) bool {
	want := 0
	for _, e := range r.fleet.KeptEndpoints() {
		for _, m := range e.Models {
			if m == model {
				want += 2 * e.Slots
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isEnding || len(r.held) >= maxHeld || r.archiver.IsBehind() {
		return false
	}
	for _, seg := range r.held {
		if seg.job.File.Model == model {
			want -= seg.core.Pending()
		}
	}
	return want > 0
}

func (r *Runner) nextJob(model string) (archiver.ActiveRow, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, j := range r.jobs {
		if j.Model == model && now.After(r.restTill[j.ID]) {
			return r.rows[j.ID], true
		}
	}
	return archiver.ActiveRow{}, false
}

// claimFrom takes up one segment of the job; a job with nothing free is left alone for a while.
//
// A claim once begun is brought to its end although the runner stops, so that its lease is known and released.
func (r *Runner) claimFrom(ctx context.Context, job archiver.ActiveRow) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	isClaimed, err := r.tryClaim(ctx, job)
	if err != nil {
		r.log.WithError(err).WithField("batch", job.ID).Debug("segment not claimed")
	}
	if isClaimed {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rest := r.cfg.LeaseRenew/2 + time.Duration(r.random.Int64N(int64(r.cfg.LeaseRenew)))
	if !r.fleet.IsWatcher(job.ID) {
		rest *= seldomWatch
	}
	r.restTill[job.ID] = time.Now().Add(rest)
}

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

func (r *Runner) observe(job archiver.ActiveRow, segments archiver.Segments) {
	completed, failed := segments.Counts()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left[job.ID] = job.Lines - completed - failed
	r.rates.Observe(time.Now(), job.ID, completed+failed)
}

// chooseFree picks a segment at random among those that nobody holds, so that VMs seldom race for one.
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
		case row.Holder == "" || r.watch.IsLapsed(now, key, row.Version):
			free = append(free, n)
		}
	}
	if len(free) == 0 {
		return 0, false
	}
	return free[r.random.IntN(len(free))], true
}

// claim writes this VM's lease with a higher fence and loads the segment with what the last holder saved.
func (r *Runner) claim(ctx context.Context, job archiver.ActiveRow, n int, old archiver.HeldRow) (bool, error) {
	row := batcher.SegmentRow{
		Holder: r.holder, Fence: old.Fence + 1, State: batcher.SegmentRunning, Checkpoint: old.Checkpoint,
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
	poke(r.feedPoke)
	return true, nil
}

func (r *Runner) load(ctx context.Context, seg *heldSegment, from archiver.ActiveRow) error {
	job, version, err := r.archiver.Job(ctx, from.Account, from.ID)
	if err != nil {
		return err
	}
	if job.State != archiver.JobRunning {
		return errors.Errorf("batch %s is %s", job.ID, job.State)
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
	seg.core = batcher.NewSegment(len(seg.lines), r.fleet.BatchPolicy().ItemAttempts, done)
	return nil
}
