package runner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/batcher"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// heldSegment is a segment under this VM's lease.
type heldSegment struct {
	job        archiver.JobRow
	jobVersion int64
	number     int
	row        batcher.SegmentRow
	version    int64
	core       *batcher.Segment
	lines      []archiver.Line
	inCommit   bool

	// writing is held while the row is written, so that a renewal and a commit never use the same version.
	writing sync.Mutex
}

func (s *heldSegment) key() string {
	return archiver.SegmentKey(s.job.ID, s.number)
}

// loopRenew keeps the leases alive and saves checkpoints.
func (r *Runner) loopRenew(ctx context.Context) {
	for wait(ctx, nil, r.cfg.LeaseRenew) {
		for _, seg := range r.heldSegments() {
			r.renew(ctx, seg)
		}
	}
}

func (r *Runner) renew(ctx context.Context, seg *heldSegment) {
	seg.writing.Lock()
	defer seg.writing.Unlock()
	r.mu.Lock()
	if seg.inCommit || r.held[seg.key()] != seg {
		r.mu.Unlock()
		return
	}
	if seg.core.IsDone() {
		r.queueCommit(seg)
		r.mu.Unlock()
		return
	}
	row, version := seg.row, seg.version
	row.Beat++
	isDirty := seg.core.IsDirty()
	results := seg.core.Results()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if isDirty {
		name := archiver.CheckpointObject(seg.job.ID, seg.number, row.Fence, row.Beat)
		if err := r.archiver.PutResults(ctx, name, results); err == nil {
			row.Checkpoint = name
		}
	}
	r.writeHeld(ctx, seg, row, version)
}

// writeHeld writes the row of a held segment; one that another VM took over is dropped.
func (r *Runner) writeHeld(ctx context.Context, seg *heldSegment, row batcher.SegmentRow, version int64) {
	version, err := r.archiver.WriteSegment(ctx, seg.job.ID, seg.number, row, version)
	conflict := (*storer.ConflictError)(nil)
	switch {
	case err == nil:
		r.setRow(seg, row, version)
	case errors.As(err, &conflict):
		r.resolve(ctx, seg)
	default:
		r.log.WithError(err).WithField("segment", seg.key()).Warn("lease not renewed")
	}
}

func (r *Runner) setRow(seg *heldSegment, row batcher.SegmentRow, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seg.row, seg.version = row, version
}

// resolve looks whether a row that changed is still this VM's: an earlier write of its own may have arrived late.
func (r *Runner) resolve(ctx context.Context, seg *heldSegment) bool {
	segments, err := r.archiver.Segments(ctx, seg.job.ID)
	if err != nil {
		return false
	}
	found := segments[seg.number]
	if found.Holder == r.holder && found.Fence == seg.row.Fence && found.State == batcher.SegmentRunning {
		r.setRow(seg, found.SegmentRow, found.Version)
		return true
	}
	r.lose(seg)
	return false
}

// lose drops a segment that is no longer this VM's; its results are never committed.
func (r *Runner) lose(seg *heldSegment) {
	r.Counts.SegmentsLost.Add(1)
	r.log.WithField("segment", seg.key()).Warn("segment lost to another holder or a cancelled batch")
	r.drop(seg)
}

func (r *Runner) drop(seg *heldSegment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held[seg.key()] == seg {
		delete(r.held, seg.key())
	}
	for _, it := range r.items {
		if it.seg == seg {
			it.cancel()
		}
	}
}

// release saves a segment's results and gives it back, so that another VM takes it up without waiting for the lease.
func (r *Runner) release(ctx context.Context, seg *heldSegment) {
	r.mu.Lock()
	isDone := seg.core.IsDone()
	r.mu.Unlock()
	if isDone {
		r.commit(ctx, seg)
		return
	}
	seg.writing.Lock()
	defer seg.writing.Unlock()
	r.mu.Lock()
	row, version, results := seg.row, seg.version, seg.core.Results()
	r.mu.Unlock()
	row.Beat++
	row.Holder = ""
	name := archiver.CheckpointObject(seg.job.ID, seg.number, row.Fence, row.Beat)
	if err := r.archiver.PutResults(ctx, name, results); err == nil {
		row.Checkpoint = name
	}
	if _, err := r.archiver.WriteSegment(ctx, seg.job.ID, seg.number, row, version); err != nil {
		r.log.WithError(err).WithField("segment", seg.key()).Warn("segment not released: its lease must lapse first")
	}
	r.drop(seg)
}

// queueCommit hands a finished segment to the committer; it is called with the lock held.
func (r *Runner) queueCommit(seg *heldSegment) {
	if seg.inCommit {
		return
	}
	select {
	case r.commits <- seg:
		seg.inCommit = true
	default:
		// The renewal tries again.
	}
}

func (r *Runner) loopCommit(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case seg := <-r.commits:
			r.commit(ctx, seg)
		}
	}
}

// commit puts the results under the fence's name and makes them the ones that count; without an answer of the store
// the segment stays held and is committed again at the next renewal.
func (r *Runner) commit(ctx context.Context, seg *heldSegment) {
	seg.writing.Lock()
	defer seg.writing.Unlock()
	err := r.tryCommit(ctx, seg)
	conflict := (*storer.ConflictError)(nil)
	switch {
	case err == nil:
		r.Counts.SegmentsCommitted.Add(1)
		r.drop(seg)
		r.finish(ctx, seg)
		poke(r.claimPoke)
	case errors.As(err, &conflict) && !r.isStillOurs(ctx, seg):
		r.lose(seg)
	default:
		r.log.WithError(err).WithField("segment", seg.key()).Warn("segment not committed yet")
		r.mu.Lock()
		seg.inCommit = false
		r.mu.Unlock()
	}
}

func (r *Runner) tryCommit(ctx context.Context, seg *heldSegment) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.mu.Lock()
	results := seg.core.Results()
	row, version, jobVersion := seg.row, seg.version, seg.jobVersion
	r.mu.Unlock()
	row.State = batcher.SegmentDone
	row.Result = archiver.ResultObject(seg.job.ID, seg.number, row.Fence)
	row.Completed, row.Failed = 0, 0
	for _, res := range results {
		if res.Error == "" {
			row.Completed++
		} else {
			row.Failed++
		}
	}
	if err := r.archiver.PutResults(ctx, row.Result, results); err != nil {
		return err
	}
	return r.archiver.CommitSegment(ctx, seg.job, jobVersion, seg.number, row, version)
}

// isStillOurs reads the job and the segment after a commit that met other versions.
func (r *Runner) isStillOurs(ctx context.Context, seg *heldSegment) bool {
	job, version, err := r.archiver.Job(ctx, seg.job.Account, seg.job.ID)
	if err != nil {
		return true
	}
	if job.State != archiver.JobRunning {
		return false
	}
	r.mu.Lock()
	seg.jobVersion = version
	r.mu.Unlock()
	return r.resolve(ctx, seg)
}

// finish ends the job if this was its last segment.
func (r *Runner) finish(ctx context.Context, seg *heldSegment) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	job, err := r.archiver.FinishJob(ctx, seg.job.Account, seg.job.ID, time.Now())
	if err != nil {
		r.log.WithError(err).WithField("batch", seg.job.ID).Warn("batch not finished yet")
		return
	}
	if job.State == archiver.JobCompleted {
		r.log.WithFields(logrus.Fields{"batch": job.ID, "completed": job.Completed, "failed": job.Failed}).Info("batch completed")
	}
}
