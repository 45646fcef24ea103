package server

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
)

// readBody reads a body of at most limit bytes. The lease holds its bytes until it is closed. The error holds a problem if the
// body is too long, there is no room for it, or it came too slowly; the connection is closed after the answer then.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *bodyreader.Lease, error) {
	body, lease, err := s.Bodies.Read(w, r, limit)
	if err == nil {
		return body, lease, nil
	}
	status, retryAfter := bodyreader.Status(err)
	if status != http.StatusBadRequest {
		w.Header().Set("Connection", "close")
	}
	switch status {
	case http.StatusRequestEntityTooLarge:
		return nil, nil, &problemError{problem: newProblem(status, "tooLarge", "Body too large",
			"body: send at most "+strconv.FormatInt(limit, 10)+" bytes")}
	case http.StatusServiceUnavailable:
		return nil, nil, &problemError{problem: newProblem(status, "noRoom", "No room", err.Error()).withRetry(retryAfter)}
	case http.StatusRequestTimeout:
		return nil, nil, &problemError{problem: newProblem(status, "tooSlow", "Body too slow", err.Error())}
	}
	return nil, nil, errors.Wrap(err, "read body")
}
