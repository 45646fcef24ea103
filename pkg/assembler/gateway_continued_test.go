package assembler_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// scriptedEngine is an engine whose answers are written by its test, byte for byte.
type scriptedEngine struct {
	server *httptest.Server
	// answers holds the answer to each run, in order; ID stands for the request's id. The last one is given again.
	answers []string
	runs    *atomic.Int64
}

func (e *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	n := min(int(e.runs.Add(1)), len(e.answers))
	_, _ = io.WriteString(conn, strings.ReplaceAll(e.answers[n-1], "ID", r.Header.Get("X-Request-Id")))
	_ = conn.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// newScriptedFleet starts a fleet of one VM whose two engines give the answers, whichever of them runs a request.
func newScriptedFleet(t *testing.T, answers ...string) (*testFleet, *atomic.Int64) {
	t.Helper()
	f, runs := newFleet(t, 1), &atomic.Int64{}
	for _, id := range []string{"i-llm-1", "i-llm-2"} {
		e := &scriptedEngine{answers: answers, runs: runs}
		e.server = httptest.NewServer(e)
		t.Cleanup(e.server.Close)
		entry := f.endpoint(id).Entry("ready")
		entry["address"] = e.server.Listener.Addr().String()
		f.store.Put("servers", "", id, entry)
	}
	f.awaitEndpoints()
	return f, runs
}

const signedHead = "X-Request-Id: ID\r\nX-Response-Stamp: s\r\n"

// eventAt returns the n-th event of a request.
func eventAt(n int) string { return fmt.Sprintf("id: %d\ndata: ID.%d\n\n", n, n) }

// chunked returns an answer of status 200 in chunks, which ends properly if it isWhole.
func chunked(isWhole bool, pieces ...string) string {
	b := strings.Builder{}
	b.WriteString("HTTP/1.1 200 OK\r\n" + signedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	// The id of a request has as many bytes as that of the first one in a test process.
	length := func(s string) int { return len(strings.ReplaceAll(s, "ID", newID("c"))) }
	for _, p := range pieces {
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", length(p), p)
	}
	if isWhole {
		b.WriteString("0\r\n\r\n")
	}
	return b.String()
}

// unframed returns an answer of status 200 that has neither a length nor chunks.
func unframed(events ...string) string {
	head := "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	return head + strings.Join(events, "")
}

func sized(status, kind, body string) string {
	length := len(strings.ReplaceAll(body, "ID", newID("c")))
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, signedHead, kind, length, body)
}

// TestBrokenStreamIsContinuedByItsOwnRestOnly guards against a stream that goes on with an answer that is not its rest: after a
// gap, with an error's text or head, or with an end that is none.
func TestBrokenStreamIsContinuedByItsOwnRestOnly(t *testing.T) {
	t.Parallel()
	const events = "text/event-stream"
	first := chunked(false, eventAt(0), eventAt(1))
	cases := []struct {
		name    string
		answers []string
		// isServed says that the caller gets events 0 to 3 and a proper end.
		isServed bool
	}{
		{"its rest", []string{first, chunked(true, eventAt(2), eventAt(3))}, true},
		{"its rest, with a length", []string{first, sized("200 OK", events, eventAt(2)+eventAt(3))}, true},
		{"its rest after comments", []string{first, chunked(true, ": wait\n\n", eventAt(2), ": wait\n\n", eventAt(3))}, true},
		{
			"its rest with the version of the weights",
			[]string{first, chunked(true, "x-weight-versions: 2\n"+eventAt(2), eventAt(3))},
			true,
		},
		{"a gap", []string{first, chunked(true, eventAt(3))}, false},
		{"an event that comes again", []string{first, chunked(true, eventAt(2), eventAt(2))}, false},
		{"events that were there", []string{first, chunked(true, eventAt(1), eventAt(2), eventAt(3))}, false},
		{"another run from its start", []string{first, chunked(true, eventAt(0), eventAt(1), eventAt(2), eventAt(3))}, false},
		{"data without an id", []string{first, chunked(true, "data: x\n\n", eventAt(2), eventAt(3))}, false},
		{"no content", []string{first, "HTTP/1.1 204 No Content\r\n" + signedHead + "\r\n"}, false},
		{"partial content", []string{first, sized("206 Partial Content", events, eventAt(2)+eventAt(3))}, false},
		{"accepted", []string{first, sized("202 Accepted", events, "")}, false},
		{"another media type", []string{first, sized("200 OK", "text/plain", eventAt(2)+eventAt(3))}, false},
		{"an error's text", []string{first, sized("500 Internal Server Error", "text/plain", "out of memory\n\n")}, false},
		{"a text with status 200", []string{first, sized("200 OK", events, "out of memory\n\n")}, false},
		{"a JSON error with status 200", []string{first, sized("200 OK", events, "{\"error\": \"out of memory\"}\n\n")}, false},
		{"a head in the stream", []string{chunked(true, eventAt(0), eventAt(1),
			"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n")}, false},
		{
			"a status line in the stream",
			[]string{chunked(true, eventAt(0), eventAt(1), "HTTP/1.1 500 Internal Server Error\r\n\r\n")},
			false,
		},
		{"a head after a part of an event", []string{chunked(true, eventAt(0), eventAt(1),
			"id: 2\ndata: aHTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n")}, false},
		{"an informational head before its rest", []string{first, "HTTP/1.1 103 Early Hints\r\n\r\n" +
			chunked(true, eventAt(2), eventAt(3))}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, _ := newScriptedFleet(t, c.answers...)
			id := newID("c")
			a := f.call(context.Background(), f.vms[0], http.MethodPost, "/note/1", id, "body", withHeader("X-Deadline-Ms", "3000"),
				withHeader("X-Token-Count", "450,250"))
			if c.isServed {
				require.NoError(t, a.err)
				require.Equal(t, http.StatusOK, a.status)
				events := strings.NewReplacer(": wait\n\n", "", "x-weight-versions: 2\n", "").Replace(a.body)
				assert.Equal(t, standin.CompleteStream(id, 4), events)
				return
			}
			assert.Error(t, a.err, "the stream ended as if it were complete")
			assert.True(t, strings.HasPrefix(standin.CompleteStream(id, 4), a.body), "the stream holds what is not its own: %q", a.body)
		})
	}
}

// TestItemIsContinuedByItsOwnRestOnly guards against a text of a batch item that goes on with an answer that is not its rest.
// After a part of the item, one bad answer comes, and then its rest.
func TestItemIsContinuedByItsOwnRestOnly(t *testing.T) {
	t.Parallel()
	part, rest := chunked(false, eventAt(0), eventAt(1)), chunked(true, eventAt(2), eventAt(3))
	whole := chunked(true, eventAt(0), eventAt(1), eventAt(2), eventAt(3))
	cases := []struct {
		name    string
		answers []string
	}{
		{"a gap", []string{part, chunked(true, eventAt(3)), rest}},
		{"events that were there", []string{part, chunked(true, eventAt(1), eventAt(2), eventAt(3)), rest}},
		{"data without an id", []string{part, chunked(true, "data: x\n\n", eventAt(2), eventAt(3)), rest}},
		{"no content", []string{part, "HTTP/1.1 204 No Content\r\n" + signedHead + "\r\n", rest}},
		{"a text with status 200", []string{part, sized("200 OK", "text/event-stream", "out of memory\n\n"), rest}},
		{"a head in the text", []string{part, chunked(true, "HTTP/1.1 500 Internal Server Error\r\nServer: x\r\n\r\n"), rest}},
		{
			"no rest and no marked end",
			[]string{chunked(false, eventAt(0), eventAt(1), eventAt(2), eventAt(3)), unframed(), unframed(), whole},
		},
		{"an empty text", []string{part, sized("200 OK", "text/plain", ""), rest}},
		{"nothing at first", []string{sized("200 OK", "text/event-stream", ""), whole}},
		{"a comment only", []string{chunked(true, ": wait\n\n"), whole}},
		{"parts without ids", []string{chunked(false, "data: a\n\n", "data: b\n\n"), whole}},
		{"parts without ids, then with", []string{chunked(false, "data: a\n\n", eventAt(0)), whole}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, _ := newScriptedFleet(t, c.answers...)
			job, items := newID("j"), newItems(1)
			items[0].ID = newID("i")
			require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
			r := f.await(f.vms[0], job, 1).Results[0]
			assert.Equal(t, "succeeded", r.State)
			assert.Equal(t, standin.CompleteOutput(r.ID, 4), r.Output)
		})
	}
}

// TestStreamWithoutIDsIsNotResumed guards against a stream that is joined from two runs, since no id says where the first one
// ended.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	t.Parallel()
	f, runs := newScriptedFleet(t, chunked(false, "data: a\n\n", "data: b\n\n"), chunked(true, "data: a\n\n", "data: b\n\n"))
	a := f.stream(f.vms[0], "/note/1", newID("n"))
	assert.Error(t, a.err, "%q", a.body)
	assert.Equal(t, int64(1), runs.Load())
}

// TestCallersResumeIsServedFromItsEventOn guards against the answer to a caller's resume that begins at another event than the
// next.
func TestCallersResumeIsServedFromItsEventOn(t *testing.T) {
	t.Parallel()
	for name, events := range map[string][]string{
		"a gap": {eventAt(3), eventAt(4)}, "its start": {eventAt(0), eventAt(1), eventAt(2)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _ := newScriptedFleet(t, chunked(true, events...))
			a := f.resume(f.vms[0], newID("b"))
			assert.False(t, a.err == nil && a.status == http.StatusOK, "%q", a.body)
		})
	}
}

// TestBrokenStreamOfHTTP10CallerIsNotWhole guards against a part of a stream that looks whole to a caller whose answers have no
// chunks.
func TestBrokenStreamOfHTTP10CallerIsNotWhole(t *testing.T) {
	t.Parallel()
	for name, isWhole := range map[string]bool{"broken": false, "whole": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _ := newScriptedFleet(t, chunked(isWhole, eventAt(0), eventAt(1)))
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.vms[0].base, "http://"))
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			id := newID("h")
			_, err = fmt.Fprintf(conn, "POST /draft/1 HTTP/1.0\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Token-Count: 450,250\r\n"+
				"X-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nbody", testHost, id)
			require.NoError(t, err)
			answer, err := io.ReadAll(conn)
			if !isWhole {
				assert.Error(t, err, "the answer ended as if it were complete: %q", answer)
				return
			}
			require.NoError(t, err)
			assert.True(t, strings.HasSuffix(string(answer), standin.CompleteStream(id, 2)), "%q", answer)
		})
	}
}
