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

// serveEngine makes answer the only engine of the fleet: it is called for each connection.
func (f *testFleet) serveEngine(answer func(c net.Conn, br *bufio.Reader)) {
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
	for _, id := range []string{"i-llm-1", "i-llm-2"} {
		f.store.Remove("servers", "", id)
	}
	f.store.Put("servers", "", "i-raw", map[string]any{
		"service": "llm", "address": ln.Addr().String(), "zone": "syd-a", "version": "v1", "slots": 8, "state": "ready",
		"coldLeftMs": 0, "seq": 1, "born": 1,
	})
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
	f.serveEngine(func(c net.Conn, br *bufio.Reader) {
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
	})
	job, items := newID("job"), newItems(1)
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	result := f.await(f.vms[0], job, 1).Results[0]
	assert.Equal(t, "succeeded", result.State)
	assert.Equal(t, standin.CompleteOutput(items[0].ID, 3), result.Output)
	assert.EqualValues(t, 2, runs.Load())
}
