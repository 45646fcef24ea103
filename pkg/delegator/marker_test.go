package delegator

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestOwnAnswersSayWhetherTheRequestRan lists what the answers of a VM state: only what no endpoint can have run is marked.
func TestOwnAnswersSayWhetherTheRequestRan(t *testing.T) {
	for status, isNotRun := range map[int]bool{
		401: true, 403: true, 404: true, 408: true, 413: true, 421: true, 429: true, 431: true, 503: true,
		200: false, 202: false, 204: false, 302: false, 400: false, 405: false, 409: false,
		500: false, 501: false, 502: false, 504: false,
	} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			for _, isSigned := range []bool{false, true} {
				w := httptest.NewRecorder()
				m := &marker{ResponseWriter: w, delegator: &Delegator{cfg: Config{Headers: testHeaders}}, id: "r1"}
				if isSigned {
					m.Header().Set(testHeaders.Signature, "of the endpoint")
				}
				m.WriteHeader(status)
				assert.Equal(t, status, w.Code)
				assert.Equal(t, isNotRun && !isSigned, w.Header().Get(testHeaders.NotExecuted) != "", "signed: %t", isSigned)
				assert.Equal(t, isNotRun && !isSigned, m.isNotRun)
				assert.Equal(t, !isSigned, w.Header().Get(testHeaders.RequestID) == "r1")
			}
		})
	}
}

// FuzzMarker writes answers with any headers: one with a signature passes unchanged, and one without never says that the request
// has not run with a status that leaves it open.
func FuzzMarker(f *testing.F) {
	f.Add(503, "", "", "", false, true)
	f.Add(502, "", "1", "r2", false, true)
	f.Add(400, "s", "1", "r1", true, false)
	f.Add(200, "s", "", "r1", false, false)
	f.Add(0, "", "1", "", true, true)
	f.Fuzz(func(t *testing.T, status int, signature, notRun, id string, isInformational, writesBody bool) {
		status = 200 + (status%400+400)%400
		w := httptest.NewRecorder()
		m := &marker{ResponseWriter: w, delegator: &Delegator{cfg: Config{Headers: testHeaders}}, id: "r1"}
		h := m.Header()
		for name, value := range map[string]string{
			testHeaders.Signature: signature, testHeaders.NotExecuted: notRun, testHeaders.RequestID: id, "X-Other": "o",
		} {
			if value != "" {
				h.Set(name, value)
			}
		}
		before := h.Clone()
		if isInformational {
			m.WriteHeader(http.StatusEarlyHints)
			assert.Equal(t, before, h, "an informational answer changes the headers of the final one")
		}
		m.WriteHeader(status)
		if writesBody {
			_, _ = m.Write([]byte("body"))
			assert.Equal(t, "body", w.Body.String())
		}
		assert.Equal(t, "o", h.Get("X-Other"))
		if signature != "" {
			assert.Equal(t, before, h)
			assert.False(t, m.isNotRun)
			return
		}
		isMarked := h.Get(testHeaders.NotExecuted) != ""
		assert.Equal(t, m.isNotRun, isMarked)
		assert.Equal(t, "r1", h.Get(testHeaders.RequestID))
		if status < 400 || status == http.StatusInternalServerError || status == http.StatusBadGateway ||
			status == http.StatusGatewayTimeout {
			assert.False(t, isMarked, "status %d is marked", status)
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			assert.True(t, isMarked, "status %d is not marked", status)
		}
	})
}

// TestBodyWithoutAHeadIsAWholeAnswer writes a body only, as a handler may.
func TestBodyWithoutAHeadIsAWholeAnswer(t *testing.T) {
	w := httptest.NewRecorder()
	m := &marker{ResponseWriter: w, delegator: &Delegator{cfg: Config{Headers: testHeaders}}, id: "r1"}
	_, _ = m.Write([]byte("a"))
	_, _ = m.Write([]byte("b"))
	assert.Equal(t, http.StatusOK, w.Code)
	assert.Equal(t, "ab", w.Body.String())
	assert.Equal(t, "r1", w.Header().Get(testHeaders.RequestID))
}
