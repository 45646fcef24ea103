package server

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
)

const (
	batchPurpose    = "batch"
	outputPurpose   = "batch_output"
	outputIDPrefix  = "file-out-"
	errorsIDPrefix  = "file-err-"
	batchIDPrefix   = "batch_"
	maxPurposeBytes = 64
	octetStream     = "application/octet-stream"
)

type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileObject(row archiver.FileRow) fileObject {
	return fileObject{
		ID: row.ID, Object: "file", Bytes: row.Bytes, CreatedAt: row.CreatedAt.Unix(),
		Filename: row.Name, Purpose: batchPurpose, Status: "processed",
	}
}

// uploadFile streams a file of batch requests into the store and answers after it is stored durably.
func (s *Server) uploadFile(w http.ResponseWriter, r *http.Request) {
	row, err := s.saveUpload(r)
	if err != nil {
		problemOf(err).write(w, r)
		return
	}
	writeJSON(w, http.StatusOK, newFileObject(row))
}

func (s *Server) saveUpload(r *http.Request) (archiver.FileRow, error) {
	invalid := func(field, value, remedy string) error { return &problemError{problem: badField(field, value, remedy)} }
	form, err := r.MultipartReader()
	if err != nil {
		return archiver.FileRow{}, invalid("body", r.Header.Get("Content-Type"), "send multipart/form-data with purpose and file")
	}
	row, isSaved := archiver.FileRow{}, false
	purpose := ""
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return row, invalid("body", "", "send whole multipart/form-data: "+err.Error())
		}
		switch part.FormName() {
		case "purpose":
			raw, _ := io.ReadAll(io.LimitReader(part, maxPurposeBytes))
			if purpose = string(raw); purpose != batchPurpose {
				return row, invalid("purpose", purpose, "use batch")
			}
		case "file":
			row, err = s.Archiver.SaveFile(r.Context(), accountOf(r).Name, part.FileName(), part, s.checkLine(r), time.Now())
			if err != nil {
				return row, err
			}
			isSaved = true
		}
	}
	if purpose == "" {
		return row, invalid("purpose", "", "set this field to batch")
	}
	if !isSaved {
		return row, invalid("file", "", "send a file of JSON lines")
	}
	return row, nil
}

// checkLine returns a check that validates the body of a line like the body of a chat request.
func (s *Server) checkLine(r *http.Request) archiver.CheckBody {
	snapshot := currentOf(r).Snapshot
	return func(body []byte) (model, field, value, remedy string) {
		req, _, problem := s.decodeChat(body, &snapshot)
		if problem != nil {
			return req.Model, problem.Field, problem.Value, problem.Remedy
		}
		return req.Model, "", "", ""
	}
}

func (s *Server) listFiles(w http.ResponseWriter, r *http.Request) {
	rows, err := s.Archiver.Files(r.Context(), accountOf(r).Name)
	if err != nil {
		problemOf(err).write(w, r)
		return
	}
	list := listObject[fileObject]{Object: "list", Data: []fileObject{}}
	for _, row := range rows {
		list.Data = append(list.Data, newFileObject(row))
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) getFile(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	if batch, ok := batchOfOutput(id); ok {
		job, _, err := s.Archiver.Job(r.Context(), accountOf(r).Name, batch)
		if err != nil {
			problemOf(err).write(w, r)
			return
		}
		writeJSON(w, http.StatusOK, fileObject{
			ID: id, Object: "file", CreatedAt: job.CreatedAt.Unix(), Filename: id + ".jsonl",
			Purpose: outputPurpose, Status: "processed",
		})
		return
	}
	row, err := s.Archiver.File(r.Context(), accountOf(r).Name, id)
	if err != nil {
		problemOf(err).write(w, r)
		return
	}
	writeJSON(w, http.StatusOK, newFileObject(row))
}

func (s *Server) deleteFile(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	if err := s.Archiver.DeleteFile(r.Context(), accountOf(r).Name, id); err != nil {
		problemOf(err).write(w, r)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Deleted bool   `json:"deleted"`
	}{id, "file", true})
}

// getContent streams a file, or the results of a batch. If that fails after the first byte, it closes the connection, so
// that the caller observes an error and doesn't take a truncated file for a complete one.
func (s *Server) getContent(w http.ResponseWriter, r *http.Request) {
	id, account := mux.Vars(r)["id"], accountOf(r).Name
	write, err := s.contentWriter(r, account, id)
	if err != nil {
		problemOf(err).write(w, r)
		return
	}
	w.Header().Set("Content-Type", octetStream)
	cw := &countingWriter{w: w}
	if err := write(cw); err != nil {
		if cw.n == 0 {
			w.Header().Del("Content-Type")
			problemOf(err).write(w, r)
			return
		}
		s.log.WithError(err).WithField("file", id).Warn("file's content failed after part of it was sent; connection closed")
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) contentWriter(r *http.Request, account, id string) (func(io.Writer) error, error) {
	if batch, ok := batchOfOutput(id); ok {
		job, _, err := s.Archiver.Job(r.Context(), account, batch)
		return func(w io.Writer) error {
			return s.Archiver.WriteOutput(r.Context(), job, strings.HasPrefix(id, errorsIDPrefix), w)
		}, err
	}
	row, err := s.Archiver.File(r.Context(), account, id)
	return func(w io.Writer) error { return s.Archiver.WriteFile(r.Context(), row, w) }, err
}

// batchOfOutput returns the id of the batch that an output or error file belongs to.
func batchOfOutput(id string) (string, bool) {
	for _, prefix := range []string{outputIDPrefix, errorsIDPrefix} {
		if rest, ok := strings.CutPrefix(id, prefix); ok {
			return batchIDPrefix + rest, true
		}
	}
	return "", false
}

type countingWriter struct {
	w io.Writer
	n int64
}

// Write counts the bytes written to the underlying writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += int64(n)
	return n, err
}
