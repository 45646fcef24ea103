package bodyreader

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/budgeter"
)

const maxWait = 10 * time.Second

// newReader returns a reader with room for 100 KiB, of which 75 KiB are for bodies above 1 KiB.
func newReader() *Reader {
	return New(budgeter.Limits{
		Bytes: 100 << 10, SmallShare: 25 << 10, SmallHold: 1 << 10, ShedAfter: 50 * time.Millisecond, StalledAfter: time.Hour,
	})
}

// serve starts a server that answers with the length of the body, and keeps its lease until release is closed.
func serve(t *testing.T, b *Reader, limit int64, release chan struct{}) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, lease, err := b.Read(w, r, limit)
		defer lease.Close()
		if err != nil {
			status, _ := Status(err)
			w.Header().Set("Connection", "close")
			w.WriteHeader(status)
			return
		}
		if release != nil {
			<-release
		}
		_, _ = fmt.Fprint(w, len(body))
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// send sends a request over a connection of its own and returns a channel that receives the status of its answer.
func send(t *testing.T, address, text string) chan int {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	answered := make(chan int, 1)
	go func() {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			answered <- 0
			return
		}
		answered <- res.StatusCode
	}()
	return answered
}

func withLength(n, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", sent))
}

func chunked(chunks, size int, end string) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, chunks) + end
}

const lastChunk = "0\r\n\r\n"

// TestBodiesAreHeldToTheLimitAndTheBudget sends one body at a time.
func TestBodiesAreHeldToTheLimitAndTheBudget(t *testing.T) {
	tests := []struct {
		name, text string
		status     int
	}{
		{"none", withLength(0, 0), 200},
		{"with a length", withLength(60<<10, 60<<10), 200},
		{"of the limit", withLength(70<<10, 70<<10), 200},
		{"over the limit", withLength(70<<10+1, 0), 413},
		{"in chunks", chunked(3, 10_000, lastChunk), 200},
		{"in chunks of one byte", chunked(30_000, 1, lastChunk), 200},
		{"in chunks over the limit", chunked(80, 1<<10, lastChunk), 503},
		{"in small chunks that end within the limit", chunked(30, 1<<10, lastChunk), 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newReader()
			assert.Equal(t, tt.status, <-send(t, serve(t, b, 70<<10, nil), tt.text))
			assert.Eventually(t, func() bool { return b.Held() == 0 }, maxWait, time.Millisecond)
		})
	}
}

// TestChunkedBodyOverTheLimit guards against a chunked body that is refused for its size only after more of it was held.
func TestChunkedBodyOverTheLimit(t *testing.T) {
	b := newReader()
	assert.Equal(t, 413, <-send(t, serve(t, b, 20<<10, nil), chunked(80, 1<<10, lastChunk)))
	assert.Eventually(t, func() bool { return b.Held() == 0 }, maxWait, time.Millisecond)
}

// TestIncompleteBodiesMakeRoom fills the budget with bodies that stop short. It guards against callers within the limits that are
// refused for as long as the others stay, and against bodies that are given up without need.
func TestIncompleteBodiesMakeRoom(t *testing.T) {
	b := newReader()
	address := serve(t, b, 1<<20, nil)
	short := []chan int{send(t, address, withLength(35<<10, 35<<10-1))}
	require.Eventually(t, func() bool { return b.Held() == 35<<10 }, maxWait, time.Millisecond)
	short = append(short, send(t, address, withLength(34<<10, 1)))
	require.Eventually(t, func() bool { return b.Held() == 69<<10 }, maxWait, time.Millisecond)
	assert.Equal(t, 200, <-send(t, address, withLength(1<<10, 1<<10)), "a small request is refused")
	time.Sleep(60 * time.Millisecond) // Both have been silent for long enough now.
	assert.Equal(t, 200, <-send(t, address, withLength(40<<10, 40<<10)), "a large request is refused")
	assert.Equal(t, 503, <-short[0])
	assert.Equal(t, int64(1), b.Counters.Shed.Load())
	assert.Empty(t, short[1], "more was given up than needed")
	b.check(time.Now().Add(2 * time.Hour))
	assert.Equal(t, 408, <-short[1])
	assert.Equal(t, int64(1), b.Counters.Stalled.Load())
	assert.Eventually(t, func() bool { return b.Held() == 0 }, maxWait, time.Millisecond)
}

// TestCompleteBodiesAreKept fills the budget with requests that wait for their answers: none may be given up, since it may run.
func TestCompleteBodiesAreKept(t *testing.T) {
	b, release := newReader(), make(chan struct{})
	address := serve(t, b, 1<<20, release)
	whole := send(t, address, withLength(70<<10, 70<<10))
	require.Eventually(t, func() bool { return b.Held() == 70<<10 }, maxWait, time.Millisecond)
	time.Sleep(60 * time.Millisecond)
	assert.Equal(t, 503, <-send(t, address, withLength(40<<10, 40<<10)))
	assert.Equal(t, int64(1), b.Counters.NoRoom.Load())
	close(release)
	assert.Equal(t, 200, <-whole)
}

// TestReaderWithoutABudget guards against a nil reader that refuses or panics.
func TestReaderWithoutABudget(t *testing.T) {
	b := (*Reader)(nil)
	r := httptest.NewRequest(http.MethodPost, "/", iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 20_000))))
	r.ContentLength = -1
	body, lease, err := b.Read(httptest.NewRecorder(), r, 0)
	require.NoError(t, err)
	assert.Len(t, body, 20_000)
	lease.Close()
	lease, err = b.Reserve(1 << 40)
	require.NoError(t, err)
	lease.Close()
}

// FuzzChunkedBodies reads chunked bodies as they may come, cut anywhere. It guards against a body that differs from what was
// sent, space beyond the limit, and bytes that stay reserved.
func FuzzChunkedBodies(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"), int64(100))
	f.Add([]byte(chunked(3, 5000, lastChunk)[60:]), int64(1<<14))
	f.Add([]byte("ffffffffffffffff\r\n"), int64(10))
	f.Add([]byte("0\r\nTrailer: x\r\n\r\n"), int64(1))
	f.Fuzz(func(t *testing.T, text []byte, limit int64) {
		limit = 1 + (limit&0xffff+0xffff)&0xffff
		head := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		parse := func() *http.Request {
			r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(head), bytes.NewReader(text))))
			require.NoError(t, err)
			return r
		}
		want, wantErr := io.ReadAll(http.MaxBytesReader(httptest.NewRecorder(), parse().Body, limit))
		b := New(budgeter.Limits{
			Bytes: 1 << 20, SmallShare: 1 << 18, SmallHold: 1 << 14, ShedAfter: time.Second, StalledAfter: time.Hour,
		})
		body, lease, err := b.Read(httptest.NewRecorder(), parse(), limit)
		if wantErr != nil {
			require.Error(t, err)
		} else {
			require.NoError(t, err)
			require.Equal(t, want, append([]byte{}, body...))
			require.LessOrEqual(t, int64(cap(body)), max(limit, 2*int64(len(body)), firstBytes))
		}
		lease.Close()
		require.Zero(t, b.Held())
	})
}

// BenchmarkSmallBody measures what an ordinary request's body costs, with a budget and without one.
func BenchmarkSmallBody(b *testing.B) {
	for name, reader := range map[string]*Reader{"budget": newReader(), "none": nil} {
		b.Run(name, func(b *testing.B) {
			text := strings.Repeat("x", 1000)
			w := httptest.NewRecorder()
			for b.Loop() {
				r := &http.Request{Body: io.NopCloser(strings.NewReader(text)), ContentLength: int64(len(text))}
				_, lease, err := reader.Read(w, r, 1<<20)
				if err != nil {
					b.Fatal(err)
				}
				lease.Close()
			}
		})
	}
}
