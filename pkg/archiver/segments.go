package archiver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/batcher"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// VersionedSegment is a segment's row with the row's version.
type VersionedSegment struct {
	batcher.SegmentRow
	Version int64
}

// Segments are the rows of a job's segments by number; a segment that was never claimed has none.
type Segments map[int]VersionedSegment

// Done returns how many segments are committed.
func (s Segments) Done() int {
	n := 0
	for _, row := range s {
		if row.State == batcher.SegmentDone {
			n++
		}
	}
	return n
}

// Counts returns how many items completed and how many failed in committed segments.
func (s Segments) Counts() (completed, failed int) {
	for _, row := range s {
		if row.State == batcher.SegmentDone {
			completed += row.Completed
			failed += row.Failed
		}
	}
	return completed, failed
}

// SegmentKey returns the key of a segment's row.
func SegmentKey(job string, n int) string { return fmt.Sprintf("segment/%s/%06d", job, n) }

// Segments returns the rows of the job's segments.
func (a *Archiver) Segments(ctx context.Context, job string) (Segments, error) {
	segments := Segments{}
	var decodeErr error
	err := storer.ListAll(ctx, a.store, "segment/"+job+"/", func(r storer.Row) bool {
		n, err := strconv.Atoi(r.Key[strings.LastIndexByte(r.Key, '/')+1:])
		row := batcher.SegmentRow{}
		if err == nil {
			err = json.Unmarshal(r.Value, &row)
		}
		if err != nil {
			decodeErr = errors.Wrapf(err, "decode row %q", r.Key)
			return false
		}
		segments[n] = VersionedSegment{SegmentRow: row, Version: r.Version}
		return true
	})
	if err == nil {
		err = decodeErr
	}
	return segments, err
}

// WriteSegment claims, renews or releases a segment, if its row still has the given version.
func (a *Archiver) WriteSegment(ctx context.Context, job string, n int, row batcher.SegmentRow, version int64) (int64, error) {
	return a.writeSegment(ctx, SegmentKey(job, n), row, version)
}

// CommitSegment commits a segment's result if the job's row and the segment's row, with its fencing token, are unchanged.
func (a *Archiver) CommitSegment(
	ctx context.Context, job JobRow, jobVersion int64, n int, row batcher.SegmentRow, version int64,
) error {
	check := storer.Check{Key: jobKey(job.Account, job.ID), Version: jobVersion}
	_, err := a.writeSegment(ctx, SegmentKey(job.ID, n), row, version, check)
	return err
}

func (a *Archiver) writeSegment(
	ctx context.Context, key string, row batcher.SegmentRow, version int64, checks ...storer.Check,
) (int64, error) {
	put := storer.PutJSON(key, row)
	tx := storer.Transaction{
		Checks: append([]storer.Check{{Key: key, Version: version}}, checks...),
		Puts:   []storer.Put{put},
	}
	return a.commit(ctx, tx, key, func(r storer.Row) bool {
		found := batcher.SegmentRow{}
		return json.Unmarshal(r.Value, &found) == nil && bytes.Equal(storer.PutJSON(key, found).Value, put.Value)
	})
}

// ResultObject returns the name of the object with a holder's results; the fencing token makes it unique to the holder.
func ResultObject(job string, n int, fence int64) string {
	return fmt.Sprintf("result/%s/%06d/%d", job, n, fence)
}

// CheckpointObject returns the name of the object with a holder's results up to a heartbeat of its lease.
func CheckpointObject(job string, n int, fence, beat int64) string {
	return fmt.Sprintf("checkpoint/%s/%06d/%d-%d", job, n, fence, beat)
}

// PutResults writes item results to the object name.
func (a *Archiver) PutResults(ctx context.Context, name string, results []batcher.ItemResult) error {
	buf := bytes.Buffer{}
	enc := json.NewEncoder(&buf)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return errors.Wrap(err, "encode result")
		}
	}
	return a.store.PutObject(ctx, name, buf.Bytes())
}

// Results reads item results from the object name.
func (a *Archiver) Results(ctx context.Context, name string) ([]batcher.ItemResult, error) {
	raw, err := a.object(ctx, name)
	if err != nil {
		return nil, err
	}
	results := []batcher.ItemResult{}
	for line := range bytes.Lines(raw) {
		r := batcher.ItemResult{}
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, errors.Wrapf(err, "decode result in %s", name)
		}
		results = append(results, r)
	}
	return results, nil
}

type outputResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type outputError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

type outputLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *outputResponse `json:"response"`
	Error    *outputError    `json:"error"`
}

// WriteOutput writes the committed results of a job in the published form: the errors if isErrors is set, else the answers.
func (a *Archiver) WriteOutput(ctx context.Context, job JobRow, isErrors bool, w io.Writer) error {
	segments, err := a.Segments(ctx, job.ID)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(w)
	for n := range job.File.Parts {
		row, ok := segments[n]
		if !ok || row.State != batcher.SegmentDone {
			continue
		}
		results, err := a.Results(ctx, row.Result)
		if err != nil {
			return err
		}
		for _, r := range results {
			if (r.Error != "") != isErrors {
				continue
			}
			if err := enc.Encode(outputOf(job, n, r)); err != nil {
				return errors.Wrap(err, "write output")
			}
		}
	}
	return nil
}

func outputOf(job JobRow, n int, r batcher.ItemResult) outputLine {
	id := fmt.Sprintf("batch_req_%s_%d_%d", strings.TrimPrefix(job.ID, "batch_"), n, r.Index)
	line := outputLine{ID: id, CustomID: r.ID}
	if r.Error != "" {
		line.Error = &outputError{Code: strconv.Itoa(r.Status), Message: r.Error}
		return line
	}
	line.Response = &outputResponse{StatusCode: r.Status, RequestID: id, Body: r.Body}
	return line
}
