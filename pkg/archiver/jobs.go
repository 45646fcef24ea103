package archiver

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// JobState is the state of a batch job.
type JobState string

// The states of a batch job.
const (
	JobRunning   JobState = "in_progress"
	JobCompleted JobState = "completed"
	JobCancelled JobState = "cancelled"
)

// JobRow is the row of one batch job.
type JobRow struct {
	ID        string            `json:"id"`
	Account   string            `json:"account"`
	File      FileRow           `json:"file"`
	Window    string            `json:"window"`
	Due       time.Time         `json:"due"`
	CreatedAt time.Time         `json:"createdAt"`
	EndedAt   time.Time         `json:"endedAt"`
	State     JobState          `json:"state"`
	Completed int               `json:"completed"`
	Failed    int               `json:"failed"`
	Metadata  map[string]string `json:"metadata,omitempty"`
}

func jobKey(account, id string) string { return "job/" + account + "/" + id }

func activeKey(id string) string { return "active/" + id }

// epochKey is the key of a row written with each change of the list of active jobs; VMs read the list only when it changed.
const epochKey = "active-epoch"

// ActiveRow is an entry of the list of active jobs, with the fields by which a VM chooses a job.
type ActiveRow struct {
	ID      string    `json:"id"`
	Account string    `json:"account"`
	Model   string    `json:"model"`
	Lines   int       `json:"lines"`
	Parts   int       `json:"parts"`
	Due     time.Time `json:"due"`
}

func newActiveRow(j JobRow) ActiveRow {
	return ActiveRow{ID: j.ID, Account: j.Account, Model: j.File.Model, Lines: j.File.Lines, Parts: j.File.Parts, Due: j.Due}
}

// newEpoch returns the write that changes the row at epochKey; it needs no check, because any new value is enough.
func newEpoch() storer.Put {
	return storer.Put{Key: epochKey, Value: []byte(strconv.Quote(uuid.NewString()))}
}

// Epoch returns the version of the list of active jobs.
func (a *Archiver) Epoch(ctx context.Context) (int64, error) {
	row, err := a.store.Read(ctx, epochKey)
	return row.Version, err
}

// JobID derives the id of a job from the account and its idempotency key, so that a job submitted again is found.
func JobID(account, key string) string {
	return deriveID("batch_", account, key)
}

// OtherJobError reports that the idempotency key was used for another job.
type OtherJobError struct {
	ID string
}

// Error names the other job.
func (e *OtherJobError) Error() string {
	return fmt.Sprintf("the key belongs to batch %s, which was made of another file or due time", e.ID)
}

// CreateJob writes the job's row and its entry in the list of active jobs; a job that exists already is returned.
func (a *Archiver) CreateJob(ctx context.Context, job JobRow) (JobRow, error) {
	key := jobKey(job.Account, job.ID)
	tx := storer.Transaction{
		Checks: []storer.Check{{Key: key}},
		Puts:   []storer.Put{storer.PutJSON(key, job), storer.PutJSON(activeKey(job.ID), newActiveRow(job)), newEpoch()},
	}
	_, err := a.commit(ctx, tx, key, func(storer.Row) bool { return true })
	if err != nil && !isConflict(err) {
		return job, err
	}
	if err == nil {
		return job, nil
	}
	old, _, err := a.Job(ctx, job.Account, job.ID)
	if err == nil && (old.File.ID != job.File.ID || old.Window != job.Window) {
		return old, &OtherJobError{ID: old.ID}
	}
	return old, err
}

// Job returns a job's row and the row's version.
func (a *Archiver) Job(ctx context.Context, account, id string) (JobRow, int64, error) {
	row, version, err := storer.ReadJSON[JobRow](ctx, a.store, jobKey(account, id))
	if err == nil && version == 0 {
		err = &NotFoundError{Kind: "batch", ID: id}
	}
	return row, version, err
}

// Jobs returns at most n of the account's jobs in order of their ids, starting after the id after.
func (a *Archiver) Jobs(ctx context.Context, account, after string, n int) ([]JobRow, error) {
	prefix := jobKey(account, "")
	if after != "" {
		after = jobKey(account, after)
	}
	rows, err := a.store.List(ctx, prefix, after, n)
	if err != nil {
		return nil, err
	}
	return decodeRows[JobRow](rows)
}

// ActiveJobs returns every job that has not ended.
func (a *Archiver) ActiveJobs(ctx context.Context) ([]ActiveRow, error) {
	rows := []storer.Row{}
	err := storer.ListAll(ctx, a.store, activeKey(""), func(r storer.Row) bool {
		rows = append(rows, r)
		return true
	})
	if err != nil {
		return nil, err
	}
	return decodeRows[ActiveRow](rows)
}

func decodeRows[T any](rows []storer.Row) ([]T, error) {
	list := make([]T, 0, len(rows))
	for _, r := range rows {
		var v T
		if err := json.Unmarshal(r.Value, &v); err != nil {
			return nil, errors.Wrapf(err, "decode row %q", r.Key)
		}
		list = append(list, v)
	}
	return list, nil
}

// CancelJob cancels a running job; segments that are not committed by then can't be committed any more.
func (a *Archiver) CancelJob(ctx context.Context, account, id string, now time.Time) (JobRow, error) {
	return a.endJob(ctx, account, id, func(job *JobRow, segments Segments) {
		job.State, job.EndedAt = JobCancelled, now.UTC()
		job.Completed, job.Failed = segments.Counts()
	})
}

// FinishJob completes a running job if all its segments are committed.
func (a *Archiver) FinishJob(ctx context.Context, account, id string, now time.Time) (JobRow, error) {
	return a.endJob(ctx, account, id, func(job *JobRow, segments Segments) {
		if segments.Done() < job.File.Parts {
			return
		}
		job.State, job.EndedAt = JobCompleted, now.UTC()
		job.Completed, job.Failed = segments.Counts()
	})
}

// endJob changes the row of a running job and removes its entry from the list of active jobs; it retries after a conflict.
func (a *Archiver) endJob(ctx context.Context, account, id string, change func(*JobRow, Segments)) (JobRow, error) {
	const tries = 5
	key := jobKey(account, id)
	for range tries {
		job, version, err := a.Job(ctx, account, id)
		if err != nil || job.State != JobRunning {
			return job, err
		}
		segments, err := a.Segments(ctx, id)
		if err != nil {
			return job, err
		}
		if change(&job, segments); job.State == JobRunning {
			return job, nil
		}
		tx := storer.Transaction{
			Checks:  []storer.Check{{Key: key, Version: version}},
			Puts:    []storer.Put{storer.PutJSON(key, job), newEpoch()},
			Deletes: []string{activeKey(id)},
		}
		_, err = a.commit(ctx, tx, key, func(storer.Row) bool { return false })
		if err == nil {
			return job, nil
		}
		if !isConflict(err) {
			return job, err
		}
	}
	return JobRow{}, errors.Errorf("batch %s kept changing over %d tries", id, tries)
}

func isConflict(err error) bool {
	conflict := (*storer.ConflictError)(nil)
	return errors.As(err, &conflict)
}
