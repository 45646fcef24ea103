package segmentrunner

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

// heldSegment is a segment whose lease this VM holds.
type heldSegment struct {
	job        archiver.JobRow
	jobVersion int64
	number     int
	row        batcher.SegmentRow
	version    int64
	tracker    *batcher.Segment
	lines      []archiver.Line
	// isCommitting says that the segment is queued for commit or is being released: no new item of it may start.
	isCommitting bool

	// writeMu is held while the row is written, so that a renewal and a commit never use the same version.
	writeMu sync.Mutex
}

func (s *heldSegment) key() string {
	return archiver.SegmentKey(s.job.ID, s.number)
}

// loopRenew renews the leases of the held segments and saves checkpoints.
func (r *Runner) loopRenew(ctx context.Context) {
	for waitFor(ctx, nil, r.cfg.LeaseRenew) {
		for _, seg := range r.heldSegments() {
			r.renew(ctx, seg)
		}
	}
}

// renew saves a checkpoint if there are new results and writes the segment's row, which renews its lease; a finished segment is
// queued for commit instead.
func (r *Runner) renew(ctx context.Context, seg *heldSegment) {
	seg.writeMu.Lock()
	defer seg.writeMu.Unlock()
	r.mu.Lock()
	if seg.isCommitting || r.held[seg.key()] != seg {
		r.mu.Unlock()
		return
	}
	if seg.tracker.IsDone() {
		r.queueCommit(seg)
		r.mu.Unlock()
		return
	}
	row, version := seg.row, seg.version
	row.Beat++
	row.Attempts = seg.tracker.Attempts()
	isDirty := seg.tracker.IsDirty()
	results := seg.tracker.Results()
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

// writeHeld writes the row of a held segment, and drops the segment if another VM has taken it over.
func (r *Runner) writeHeld(ctx context.Context, seg *heldSegment, row batcher.SegmentRow, version int64) {
	version, err := r.archiver.WriteSegment(ctx, seg.job.ID, seg.number, row, version)
	conflict := (*storer.ConflictError)(nil)
	switch {
	case err == nil:
		r.setRow(seg, row, version)
	case errors.As(err, &conflict):
		r.resolve(ctx, seg)
	default:
		r.log.WithError(err).WithField("segment", seg.key()).Warn("segment lease not renewed; retrying at the next renewal")
	}
}

func (r *Runner) setRow(seg *heldSegment, row batcher.SegmentRow, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seg.row, seg.version = row, version
}

// resolve reads a row that had another version than expected and reports whether this VM still holds it: an earlier write of
// its own may have arrived late. If another VM holds it, the segment is dropped; without an answer of the store resolve returns
// false and drops nothing.
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
	r.dropLost(seg)
	return false
}

// dropLost drops a segment that this VM no longer holds; its results are never committed.
func (r *Runner) dropLost(seg *heldSegment) {
	r.Counts.SegmentsLost.Add(1)
	r.log.WithField("segment", seg.key()).Warn("segment dropped: another VM holds it or its batch job was cancelled")
	r.drop(seg)
}

// drop removes the segment and cancels its items.
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

// release saves a segment's results and clears its holder, so that another VM can claim it before the lease expires. A
// finished segment is committed instead.
func (r *Runner) release(ctx context.Context, seg *heldSegment) {
	r.mu.Lock()
	isDone := seg.tracker.IsDone()
	r.mu.Unlock()
	if isDone {
		r.commit(ctx, seg)
		return
	}
	seg.writeMu.Lock()
	defer seg.writeMu.Unlock()
	r.mu.Lock()
	row, version, results, attempts := seg.row, seg.version, seg.tracker.Results(), seg.tracker.Attempts()
	r.mu.Unlock()
	row.Beat++
	row.Holder, row.Attempts = "", attempts
	name := archiver.CheckpointObject(seg.job.ID, seg.number, row.Fence, row.Beat)
	if err := r.archiver.PutResults(ctx, name, results); err == nil {
		row.Checkpoint = name
	}
	if _, err := r.archiver.WriteSegment(ctx, seg.job.ID, seg.number, row, version); err != nil {
		r.log.WithError(err).WithField("segment", seg.key()).Warn("segment not released; its lease must expire first")
	}
	r.drop(seg)
}

// queueCommit queues a finished segment for loopCommit; it is called with the lock held.
func (r *Runner) queueCommit(seg *heldSegment) {
	if seg.isCommitting {
		return
	}
	select {
	case r.commits <- seg:
		seg.isCommitting = true
	default:
		// The next renewal queues it again.
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

// commit stores the results under an object name that contains the fence and makes them the segment's final results. If the
// store does not answer, the segment stays held and the next renewal commits it again.
func (r *Runner) commit(ctx context.Context, seg *heldSegment) {
	seg.writeMu.Lock()
	defer seg.writeMu.Unlock()
	err := r.tryCommit(ctx, seg)
	conflict := (*storer.ConflictError)(nil)
	switch {
	case err == nil:
		r.Counts.SegmentsCommitted.Add(1)
		r.drop(seg)
		r.finishJob(ctx, seg)
		notify(r.claimSignal)
	case errors.As(err, &conflict) && !r.isStillHeld(ctx, seg):
		r.dropLost(seg)
	default:
		r.log.WithError(err).WithField("segment", seg.key()).Warn("segment not committed; retrying at the next renewal")
		r.mu.Lock()
		seg.isCommitting = false
		r.mu.Unlock()
	}
}

// tryCommit writes the results and then the row that refers to them.
func (r *Runner) tryCommit(ctx context.Context, seg *heldSegment) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.mu.Lock()
	results := seg.tracker.Results()
	row, version, jobVersion := seg.row, seg.version, seg.jobVersion
	r.mu.Unlock()
	row.State = batcher.SegmentDone
	row.Result = archiver.ResultObject(seg.job.ID, seg.number, row.Fence)
	row.Attempts = nil
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

// isStillHeld reads the job and the segment after a commit that failed for a version conflict, and reports whether this VM still
// holds the segment; it returns true if the store does not answer for the job.
func (r *Runner) isStillHeld(ctx context.Context, seg *heldSegment) bool {
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

// finishJob ends the job if this was its last segment.
func (r *Runner) finishJob(ctx context.Context, seg *heldSegment) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	job, err := r.archiver.FinishJob(ctx, seg.job.Account, seg.job.ID, time.Now())
	if err != nil {
		r.log.WithError(err).WithField("batch", seg.job.ID).Warn("batch job not marked as finished; a later claim retries")
		return
	}
	if job.State == archiver.JobCompleted {
		r.log.WithFields(logrus.Fields{"batch": job.ID, "completed": job.Completed, "failed": job.Failed}).Info("batch job completed")
	}
}
