package assembler_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

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
