package dialer

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEndlessBytesAreBounded sends bytes that are no answer, without end, in each part of an answer: the exchange fails by itself
// well before its context ends, has read no more than maxStrays stray answers allow, and closes the connection.
func TestEndlessBytesAreBounded(t *testing.T) {
	const line, chunked = "x", "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct{ name, start, repeat string }{
		{"status line", "HTTP/1.1 200 ", line},
		{"no status line", "", line},
		{"header line", "HTTP/1.1 200 OK\r\nX-Long: ", line},
		{"headers", "HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"answers to other requests", "", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nok"},
		{"body of an answer to another request", "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", line},
		{"chunk size", chunked, "0"},
		{"chunk extension", chunked + "1;", line},
		{"chunk extensions", chunked, "1;" + strings.Repeat("x", 99) + "\r\n.\r\n"},
		{"trailer", chunked + "0\r\n", "X-Many: 1\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			written, isClosed := atomic.Int64{}, make(chan struct{})
			addr, _ := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
				defer close(isClosed)
				if _, err := readHead(br); err != nil {
					return
				}
				_, _ = io.WriteString(conn, c.start)
				block := strings.Repeat(c.repeat, 1+4096/len(c.repeat))
				for {
					n, err := io.WriteString(conn, block)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			p := NewPool(atMost(4))
			start := time.Now()
			_, err := roundTrip(t, p, addr, "a", nil)
			require.Error(t, err)
			assert.Less(t, time.Since(start), 4*time.Second, "the exchange ended only with its context")
			select {
			case <-isClosed:
			case <-time.After(4 * time.Second):
				require.Fail(t, "the connection stays open")
			}
			// The kernel's buffers hold some MiB beyond what was read.
			assert.Less(t, written.Load(), int64(maxStrayBytes+16<<20))
			assert.Empty(t, p.idle)
		})
	}
}

// TestDrainGivesUpOnASlowRest reads the rest of a refusal whose body never ends: the caller gets its answer at once, and the
// connection is not kept.
func TestDrainGivesUpOnASlowRest(t *testing.T) {
	addr, _ := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
		if _, err := readHead(br); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Id: a\r\nContent-Length: 100\r\n\r\nx")
		_, _ = io.Copy(io.Discard, br)
	})
	p := NewPool(atMost(4))
	conn, err := p.Get(t.Context(), "e", addr, "a")
	require.NoError(t, err)
	x, err := p.Do(t.Context(), conn, Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {"a"}}, IDHeader: "X-Id", ID: "a",
	})
	require.NoError(t, err)
	start := time.Now()
	x.Drain()
	x.Close()
	assert.Less(t, time.Since(start), 2*time.Second)
	assert.Empty(t, p.idle)
}

// smallVM is the memory of the smallest VM, and vmConnections the number of connections that an endpoint takes of all VMs, which
// may all be one VM's.
const (
	smallVM       = 144 << 20
	vmConnections = 100
)

// heapBytes returns the bytes of the heap that are in use after a collection.
func heapBytes() int64 {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return int64(min(m.HeapAlloc, math.MaxInt64))
}

// TestHeadsOfManyLinesAreBounded has an endpoint answer all its connections by heads of very many short lines, below the limit of
// bytes: a map of headers takes tens of times their length.
func TestHeadsOfManyLinesAreBounded(t *testing.T) {
	lines := strings.Builder{}
	for n := 0; lines.Len() < maxHeadBytes-4096; n++ {
		lines.WriteString(strconv.FormatInt(int64(n), 36) + ":\n")
	}
	addr, _ := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
		if _, err := readHead(br); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\n"+lines.String()+"\r\n")
		_, _ = io.Copy(io.Discard, br)
	})
	p := NewPool(atMost(4))
	before := heapBytes()
	errs := make([]error, vmConnections)
	var held []*Exchange
	for n := range errs {
		conn, err := p.Get(t.Context(), "e", addr, "a")
		require.NoError(t, err)
		x, err := p.Do(t.Context(), conn, Request{
			Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {"a"}}, IDHeader: "X-Id", ID: "a",
		})
		errs[n] = err
		if err == nil {
			held = append(held, x)
		}
	}
	assert.Less(t, heapBytes()-before, int64(smallVM/4), "what the heads keep")
	for _, x := range held {
		x.Close()
	}
	for _, err := range errs {
		tooLarge := (*HeadTooLargeError)(nil)
		require.ErrorAs(t, err, &tooLarge)
		assert.Equal(t, HeadTooLargeError{Limit: maxHeadLines, Unit: "lines"}, *tooLarge)
	}
}

// TestLinesOfABodyAreNotThoseOfItsHead has the body come with the head, in more lines than a head may have.
func TestLinesOfABodyAreNotThoseOfItsHead(t *testing.T) {
	body := strings.Repeat("\n", 3*maxHeadLines)
	addr, _ := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
		answerEach(br, func(id string) bool {
			_, _ = io.WriteString(conn, reply(id, "Content-Length: "+strconv.Itoa(len(body))+"\r\n", body))
			return true
		})
	})
	text, err := roundTrip(t, NewPool(atMost(4)), addr, "a", nil)
	require.NoError(t, err)
	assert.Equal(t, body, text)
}

// TestErrorsDoNotKeepWhatAnEndpointSent has an endpoint send a line as long as a head, which is none: errors are logged, and kept
// with the request.
func TestErrorsDoNotKeepWhatAnEndpointSent(t *testing.T) {
	long := strings.Repeat("\x01", maxHeadBytes-4096)
	for name, head := range map[string]string{
		"no status line": long + "\r\n", "no number": "HTTP/1.1 " + long + " OK\r\n",
		"no header":     "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"other request": "HTTP/1.1 200 OK\r\nX-Id: " + strings.Repeat("y", len(long)) + "\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
				if _, err := readHead(br); err == nil {
					_, _ = io.WriteString(conn, strings.Repeat(head, maxStrays+1))
					_, _ = io.Copy(io.Discard, br)
				}
			})
			_, err := roundTrip(t, NewPool(atMost(4)), addr, "a", nil)
			require.Error(t, err)
			assert.Less(t, len(err.Error()), 2048)
		})
	}
}

// TestUnreadAnswerIsBounded reads some MB of an endless answer fast, so that the kernel's buffer would grow, and then nothing
// more: what the endpoint can still send stays within a quarter of the smallest VM's memory for all its connections together.
func TestUnreadAnswerIsBounded(t *testing.T) {
	const read, sendBuffer = 64 << 20, 32 << 10
	written, isRead := make(chan int64, 1), atomic.Bool{}
	addr, _ := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
		if _, err := readHead(br); err != nil {
			return
		}
		_ = conn.(*net.TCPConn).SetWriteBuffer(sendBuffer)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n")
		block, sent := make([]byte, 64<<10), int64(0)
		for {
			mayEnd := isRead.Load()
			_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
			n, err := conn.Write(block)
			sent += int64(n)
			if err != nil && (mayEnd || !errors.Is(err, os.ErrDeadlineExceeded)) {
				written <- sent
				return
			}
		}
	})
	p := NewPool(atMost(4))
	conn, err := p.Get(t.Context(), "e", addr, "a")
	require.NoError(t, err)
	x, err := p.Do(t.Context(), conn, Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {"a"}}, IDHeader: "X-Id", ID: "a",
	})
	require.NoError(t, err)
	defer x.Close()
	_, err = io.CopyN(io.Discard, x, read)
	require.NoError(t, err)
	isRead.Store(true)
	assert.LessOrEqual(t, <-written-read-2*sendBuffer, int64(smallVM/4/vmConnections), "bytes that the kernel keeps")
}
