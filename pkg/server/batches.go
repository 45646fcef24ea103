package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
)

const (
	dueAtField      = "dueAt"
	idempotencyKey  = "Idempotency-Key"
	defaultPageSize = 20
	maxPageSize     = 100
)

type createBatchRequest struct {
	InputFileID      string            `json:"input_file_id" validate:"required"`
	Endpoint         string            `json:"endpoint" validate:"required"`
	CompletionWindow string            `json:"completion_window" validate:"required"`
	Metadata         map[string]string `json:"metadata"`
}

type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

type batchObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
}

func newBatchObject(job archiver.JobRow) batchObject {
	b := batchObject{
		ID: job.ID, Object: "batch", Endpoint: archiver.ChatURL, InputFileID: job.File.ID,
		CompletionWindow: job.Window, Status: string(job.State),
		CreatedAt: job.CreatedAt.Unix(), InProgressAt: job.CreatedAt.Unix(), ExpiresAt: job.Due.Unix(),
		RequestCounts: requestCounts{Total: job.File.Lines, Completed: job.Completed, Failed: job.Failed},
		Metadata:      job.Metadata,
	}
	switch job.State {
	case archiver.JobCompleted:
		b.CompletedAt = job.EndedAt.Unix()
	case archiver.JobCancelled:
		b.CancelledAt = job.EndedAt.Unix()
	}
	if job.State != archiver.JobRunning {
		rest := strings.TrimPrefix(job.ID, batchIDPrefix)
		b.OutputFileID = outputIDPrefix + rest
		if job.Failed > 0 {
			b.ErrorFileID = errorsIDPrefix + rest
		}
	}
	return b
}

// createBatch answers only after the batch job is stored durably; a job that is submitted again is recognised by its key.
func (s *Server) createBatch(w http.ResponseWriter, r *http.Request) {
	job, err := s.acceptBatch(w, r)
	if err != nil {
		problemOf(err).write(w, r)
		return
	}
	s.OnBatch()
	writeJSON(w, http.StatusOK, newBatchObject(job))
}

func (s *Server) acceptBatch(w http.ResponseWriter, r *http.Request) (archiver.JobRow, error) {
	body, lease, err := s.readBody(w, r, MaxBodyBytes)
	if err != nil {
		return archiver.JobRow{}, err
	}
	defer lease.Close()
	req := createBatchRequest{}
	if err := s.decode(body, &req); err != nil {
		return archiver.JobRow{}, err
	}
	if req.Endpoint != archiver.ChatURL {
		return archiver.JobRow{}, &problemError{problem: badField("endpoint", req.Endpoint, "use "+archiver.ChatURL)}
	}
	now := time.Now().UTC()
	due, problem := dueOf(req, now)
	if problem != nil {
		return archiver.JobRow{}, &problemError{problem: problem}
	}
	account := accountOf(r).Name
	file, err := s.Archiver.File(r.Context(), account, req.InputFileID)
	if err != nil {
		return archiver.JobRow{}, err
	}
	return s.Archiver.CreateJob(r.Context(), archiver.JobRow{
		ID: archiver.JobID(account, batchKey(r, req)), Account: account, File: file, Window: req.CompletionWindow,
		Due: due, CreatedAt: now, State: archiver.JobRunning, Metadata: req.Metadata,
	})
}

// batchKey returns what the job's id is derived from: the caller's idempotency key, or else all fields of the request.
func batchKey(r *http.Request, req createBatchRequest) string {
	if key := r.Header.Get(idempotencyKey); key != "" {
		return "key:" + key
	}
	raw, _ := json.Marshal(req)
	return "body:" + string(raw)
}

// dueOf returns when the job is due: the time in its metadata, or else the end of its completion window.
func dueOf(req createBatchRequest, now time.Time) (time.Time, *Problem) {
	if text, ok := req.Metadata[dueAtField]; ok {
		due, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return due, badField("metadata."+dueAtField, text, "write a time such as 2026-12-04T05:30:00+01:00")
		}
		if !due.After(now) {
			return due, badField("metadata."+dueAtField, text, "name a time to come")
		}
		return due, nil
	}
	window, err := time.ParseDuration(req.CompletionWindow)
	if err != nil || window <= 0 {
		return now, badField("completion_window", req.CompletionWindow, "write a length such as 24h, or set metadata."+dueAtField)
	}
	return now.Add(window), nil
}

// withCounts sets the counts of completed and failed items of a running job.
func (s *Server) withCounts(r *http.Request, job archiver.JobRow) (archiver.JobRow, error) {
	if job.State != archiver.JobRunning {
		return job, nil
	}
	segments, err := s.Archiver.Segments(r.Context(), job.ID)
	job.Completed, job.Failed = segments.Counts()
	return job, err
}

func (s *Server) getBatch(w http.ResponseWriter, r *http.Request) {
	job, _, err := s.Archiver.Job(r.Context(), accountOf(r).Name, mux.Vars(r)["id"])
	if err == nil {
		job, err = s.withCounts(r, job)
	}
	if err != nil {
		problemOf(err).write(w, r)
		return
	}
	writeJSON(w, http.StatusOK, newBatchObject(job))
}

func (s *Server) cancelBatch(w http.ResponseWriter, r *http.Request) {
	job, err := s.Archiver.CancelJob(r.Context(), accountOf(r).Name, mux.Vars(r)["id"], time.Now())
	if err != nil {
		problemOf(err).write(w, r)
		return
	}
	s.OnBatch()
	writeJSON(w, http.StatusOK, newBatchObject(job))
}

func (s *Server) listBatches(w http.ResponseWriter, r *http.Request) {
	n, problem := pageSize(r)
	if problem != nil {
		problem.write(w, r)
		return
	}
	jobs, err := s.Archiver.Jobs(r.Context(), accountOf(r).Name, r.URL.Query().Get("after"), n+1)
	if err != nil {
		problemOf(err).write(w, r)
		return
	}
	list := listObject[batchObject]{Object: "list", Data: []batchObject{}, HasMore: len(jobs) > n}
	for _, job := range jobs[:min(n, len(jobs))] {
		list.Data = append(list.Data, newBatchObject(job))
	}
	if len(list.Data) > 0 {
		list.FirstID, list.LastID = list.Data[0].ID, list.Data[len(list.Data)-1].ID
	}
	writeJSON(w, http.StatusOK, list)
}

func pageSize(r *http.Request) (int, *Problem) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultPageSize, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxPageSize {
		return 0, badField("limit", text, "use a number from 1 to "+strconv.Itoa(maxPageSize))
	}
	return n, nil
}
