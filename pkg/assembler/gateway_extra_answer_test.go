package assembler_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// replaceEndpoints replaces the endpoints of each service by n and calls answer for each of their connections.
func (f *testFleet) replaceEndpoints(n int, answer func(c net.Conn, br *bufio.Reader), services ...string) {
	f.t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				answer(c, bufio.NewReader(c))
			}()
		}
	}()
	for _, service := range services {
		f.store.Remove("servers", "", "i-"+service+"-1")
		f.store.Remove("servers", "", "i-"+service+"-2")
		for range n {
			f.store.Put("servers", "", newID("i-raw"), map[string]any{
				"service": service, "address": ln.Addr().String(), "zone": "syd-a", "version": "v1", "slots": 8, "state": "ready",
				"coldLeftMs": 0, "seq": 1, "born": 1,
			})
		}
	}
	f.awaitEndpoints()
}

// TestExtraCopyOfAFailureIsNoFurtherFailure has the engine write each failure of an item once more where the answer to the next
// request on the connection is expected: of two runs allowed, only the first one fails.
func TestExtraCopyOfAFailureIsNoFurtherFailure(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.batchRoute()["maxAttempts"] = 2
	f.awaitConfig()
	runs := atomic.Int64{}
	f.replaceEndpoints(1, func(c net.Conn, br *bufio.Reader) {
		extra := ""
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.Method == http.MethodGet {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n{\"running\":0,\"waiting\":0}")
				continue
			}
			id := r.Header.Get("X-Request-Id")
			if runs.Add(1) == 1 {
				extra = "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: " + id +
					"\r\nX-Response-Stamp: s\r\nContent-Length: 6\r\n\r\nfailed"
				_, _ = io.WriteString(c, extra)
				continue
			}
			body := standin.CompleteStream(id, 3)
			_, _ = io.WriteString(c, extra+head(id, "Content-Length: "+strconv.Itoa(len(body))+"\r\n")+body)
		}
	}, "llm")
	job, items := newID("job"), newItems(1)
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	result := f.await(f.vms[0], job, 1).Results[0]
	assert.Equal(t, "succeeded", result.State)
	assert.Equal(t, standin.CompleteOutput(items[0].ID, 3), result.Output)
	assert.EqualValues(t, 2, runs.Load())
}

// TestUnsignedFailureIsNoVerdictOnAnItem has the engine answer the first runs of an item with a failure that bears no signature.
// It guards against an item that is abandoned by bytes that no endpoint answered it with.
func TestUnsignedFailureIsNoVerdictOnAnItem(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"422 Unprocessable Entity", "500 Internal Server Error"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1)
			f.batchRoute()["maxAttempts"] = 2
			f.awaitConfig()
			runs := atomic.Int64{}
			f.replaceEndpoints(1, func(c net.Conn, br *bufio.Reader) {
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					id := r.Header.Get("X-Request-Id")
					switch {
					case r.Method == http.MethodGet:
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n{\"running\":0,\"waiting\":0}")
					case runs.Add(1) <= 3:
						_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nX-Request-Id: "+id+"\r\nContent-Length: 6\r\n\r\nfailed")
					default:
						body := standin.CompleteStream(id, 3)
						_, _ = io.WriteString(c, head(id, "Content-Length: "+strconv.Itoa(len(body))+"\r\n")+body)
					}
				}
			}, "llm")
			job, items := newID("job"), newItems(1)
			require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
			result := f.await(f.vms[0], job, 1).Results[0]
			assert.Equal(t, "succeeded", result.State)
			assert.Equal(t, standin.CompleteOutput(items[0].ID, 3), result.Output)
		})
	}
}

// TestExtraRefusalWithoutAnIDRunsNoRequestTwice has two endpoints write a refusal that names no request before each answer but
// the first of a connection, to requests that they run.
func TestExtraRefusalWithoutAnIDRunsNoRequestTwice(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	runs := atomic.Int64{}
	f.replaceEndpoints(2, func(c net.Conn, br *bufio.Reader) {
		extra := ""
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/book/1" {
				runs.Add(1)
			}
			_, _ = io.WriteString(c, extra+head(r.Header.Get("X-Request-Id"), "Content-Length: 2\r\n")+"ok")
			extra = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
		}
	}, "app")
	statuses := map[int]int{}
	for n := range 6 {
		a := f.call(t.Context(), f.vms[0], http.MethodPost, "/book/1", newID("b"), "body", withHeader("X-Deadline-Ms", "2000"))
		statuses[a.status]++
		assert.EqualValues(t, n+1, runs.Load(), "the runs of the requests so far")
	}
	assert.Zero(t, statuses[http.StatusServiceUnavailable], "a request that ran is answered as not run")
	assert.Positive(t, statuses[http.StatusOK])
}

// TestLateCopyOfAnyAnswerIsNoAnswerToTheNextRequest has the endpoint write each answer once more, late and in several forms. It
// guards against a copy that counts as the answer to the next request on its connection, or has that request sent once more.
func TestLateCopyOfAnyAnswerIsNoAnswerToTheNextRequest(t *testing.T) {
	t.Parallel()
	const notExecuted = "X-Not-Executed: 1\r\n"
	statuses := []struct{ line, header string }{
		{"200 OK", ""},
		{"204 No Content", ""},
		{"400 Bad Request", notExecuted},
		{"404 Not Found", ""},
		{"421 Misdirected Request", notExecuted},
		{"422 Unprocessable Entity", ""},
		{"429 Too Many Requests", notExecuted},
		{"500 Internal Server Error", ""},
		{"503 Service Unavailable", notExecuted},
		{"504 Gateway Timeout", ""},
	}
	// Each form writes the copy before or after the next request is read, and reads that request.
	forms := []struct {
		name  string
		write func(c net.Conn, copied string, read func() string) string
	}{
		{"while the connection is idle", func(c net.Conn, copied string, read func() string) string {
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(c, copied)
			return read()
		}},
		{"half while the connection is idle", func(c net.Conn, copied string, read func() string) string {
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(c, copied[:len(copied)/2])
			id := read()
			_, _ = io.WriteString(c, copied[len(copied)/2:])
			return id
		}},
		{"after the next request", func(c net.Conn, copied string, read func() string) string {
			id := read()
			_, _ = io.WriteString(c, copied)
			return id
		}},
		{"in pieces after the next request", func(c net.Conn, copied string, read func() string) string {
			id := read()
			for _, piece := range []string{copied[:7], copied[7 : len(copied)/2], copied[len(copied)/2:]} {
				_, _ = io.WriteString(c, piece)
				time.Sleep(10 * time.Millisecond)
			}
			return id
		}},
	}
	for _, form := range forms {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1)
			line, header := atomic.Pointer[string]{}, atomic.Pointer[string]{}
			mu, runs := sync.Mutex{}, map[string]int{}
			f.replaceEndpoints(1, func(c net.Conn, br *bufio.Reader) {
				isOpen := true
				read := func() string {
					r, err := http.ReadRequest(br)
					if err != nil {
						isOpen = false
						return ""
					}
					_, _ = io.Copy(io.Discard, r.Body)
					return r.Header.Get("X-Request-Id")
				}
				for id := read(); isOpen; {
					mu.Lock()
					runs[id]++
					mu.Unlock()
					if !strings.HasPrefix(id, "first") {
						_, _ = io.WriteString(c, head(id, "Content-Length: "+strconv.Itoa(len(id))+"\r\n")+id)
						id = read()
						continue
					}
					first := "HTTP/1.1 " + *line.Load() + "\r\nX-Request-Id: " + id + "\r\nX-Response-Stamp: s\r\n" + *header.Load()
					if !strings.HasPrefix(*line.Load(), "204") {
						first += "Content-Length: 5\r\n\r\nfirst"
					} else {
						first += "\r\n"
					}
					_, _ = io.WriteString(c, first)
					id = form.write(c, first, read)
				}
			}, "app")
			for _, path := range []string{"/book/1", "/status/1"} {
				for _, s := range statuses {
					line.Store(&s.line)
					header.Store(&s.header)
					f.call(t.Context(), f.vms[0], http.MethodPost, path, newID("first"), "body", withHeader("X-Deadline-Ms", "2000"))
					time.Sleep(100 * time.Millisecond)
					id := newID("next")
					a := f.call(t.Context(), f.vms[0], http.MethodPost, path, id, "body", withHeader("X-Deadline-Ms", "2000"))
					assert.Equal(t, http.StatusOK, a.status, "%s after a copy of %s", path, s.line)
					assert.Equal(t, id, a.body, "%s after a copy of %s", path, s.line)
					mu.Lock()
					assert.Equal(t, 1, runs[id], "%s after a copy of %s", path, s.line)
					mu.Unlock()
				}
			}
		})
	}
}
