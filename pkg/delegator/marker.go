package delegator

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// marker marks the answers that this VM makes itself. Those of endpoints, which are signed, pass unchanged.
type marker struct {
	http.ResponseWriter

	delegator *Delegator
	// id is that of the request.
	id string
	// isNotRun says that the answer states that the request has not run, hasHead that the head of the answer was written.
	isNotRun, hasHead bool
}

// WriteHeader writes the head of the answer.
func (m *marker) WriteHeader(status int) {
	if !m.hasHead && status >= http.StatusOK {
		m.hasHead = true
		m.mark(status)
	}
	m.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the head of a complete answer if none was written.
func (m *marker) Write(p []byte) (int, error) {
	m.begin()
	return m.ResponseWriter.Write(p)
}

// FlushError sends what was written, after the head of a complete answer if none was written.
func (m *marker) FlushError() error {
	m.begin()
	return http.NewResponseController(m.ResponseWriter).Flush()
}

// begin writes the head of a complete answer if none was written.
func (m *marker) begin() {
	if !m.hasHead {
		m.WriteHeader(http.StatusOK)
	}
}

// Unwrap returns the server's writer, for http.ResponseController.
func (m *marker) Unwrap() http.ResponseWriter { return m.ResponseWriter }

// mark sets the headers of an answer without a signature: the id of its request, by which it can be told from other answers on
// the connection, and whether the request has not run.
func (m *marker) mark(status int) {
	h, names := m.Header(), m.delegator.cfg.Headers
	if m.delegator.isLeaving() {
		h.Set("Connection", "close")
	}
	if h.Get(names.Signature) != "" {
		return
	}
	if m.id != "" {
		h.Set(names.RequestID, m.id)
	}
	m.isNotRun = isNotRun(status)
	if m.isNotRun {
		h.Set(names.NotExecuted, "1")
		return
	}
	h.Del(names.NotExecuted)
}

// isNotRun reports whether a VM answers with the status only if no endpoint may have run the request.
func isNotRun(status int) bool {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusRequestTimeout,
		http.StatusRequestEntityTooLarge, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusRequestHeaderFieldsTooLarge, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// refuse answers a request that has not run and will not run.
func refuse(w http.ResponseWriter, status int, detail string) {
	h := w.Header()
	if status == http.StatusServiceUnavailable {
		h.Set(UnavailableHeader, "1")
		h.Set("Retry-After", strconv.FormatFloat(refusalRetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(detail)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, detail+"\n")
}

// refusalRetryAfter is the Retry-After of a refusal; the VM that gets it asks another VM at once.
const refusalRetryAfter = 100 * time.Millisecond
