package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/budgeter"
)

const maxWait = 10 * time.Second

// testLimits are those of heads in tests.
func testLimits() HeadLimits { return HeadLimits{Bytes: 1024, Timeout: 300 * time.Millisecond} }

// newBodies returns a reader with room for ten large heads.
func newBodies() *bodyreader.Reader {
	return bodyreader.New(budgeter.Limits{
		Bytes: 80 << 10, SmallShare: 20 << 10, SmallHold: 16 << 10, ShedAfter: time.Second, StalledAfter: 2 * time.Second,
	})
}

// serve starts a server behind a port with the limits and returns the port and its address.
func serve(t *testing.T, cfg Config, h http.Handler) (*Port, string) {
	t.Helper()
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	log, _ := logtest.NewNullLogger()
	p := New(socket, cfg, &Counters{}, log)
	s := &http.Server{Handler: h, ConnState: p.Track, ReadHeaderTimeout: maxWait, IdleTimeout: maxWait}
	go func() { _ = s.Serve(p) }()
	t.Cleanup(func() { _ = s.Close() })
	return p, socket.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

// statusOf reads an answer and returns its status.
func statusOf(t *testing.T, br *bufio.Reader) int {
	t.Helper()
	res, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func noContent(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

// TestHeadsOutsideTheLimitsAreRefused sends heads that are too large or too slow. It guards against a server that reads on, or
// that closes the connection so that the client never learns why.
func TestHeadsOutsideTheLimitsAreRefused(t *testing.T) {
	tests := []struct {
		name, head string
		status     int
	}{
		{"line without end", "GET / HTTP/1.1\r\nX-Long: " + strings.Repeat("x", 100<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"lines without end", "GET / HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 20<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"part of a head", "GET / HTTP/1.1\r\nHost: h\r\n", http.StatusRequestTimeout},
		{"whole head", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusNoContent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, address := serve(t, Config{Heads: testLimits, Bodies: newBodies()}, http.HandlerFunc(noContent))
			c, br := dial(t, address)
			_, err := io.WriteString(c, tt.head)
			require.NoError(t, err)
			assert.Equal(t, tt.status, statusOf(t, br))
			if tt.status != http.StatusNoContent {
				require.Eventually(t, func() bool { return p.Open() == 0 }, maxWait, time.Millisecond)
				assert.Zero(t, p.cfg.Bodies.Held())
			}
		})
	}
}

// TestLaterHeadsAreHeldToTheLimits sends a second request on a connection whose head never ends.
func TestLaterHeadsAreHeldToTheLimits(t *testing.T) {
	_, address := serve(t, Config{Heads: testLimits, Bodies: newBodies()}, http.HandlerFunc(noContent))
	c, br := dial(t, address)
	for range 3 {
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		require.Equal(t, http.StatusNoContent, statusOf(t, br))
	}
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestTimeout, statusOf(t, br))
}

// TestConnectionsWithoutARequestMakeRoom opens more connections than the port may have. It guards against idle clients that shut
// out others, and against a request that is cut for a new connection.
func TestConnectionsWithoutARequestMakeRoom(t *testing.T) {
	release := make(chan struct{})
	p, address := serve(t, Config{Heads: testLimits, Connections: 3, Bodies: newBodies()},
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-release
			}
			w.WriteHeader(http.StatusNoContent)
		}))
	slow, slowReader := dial(t, address)
	_, err := io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	_, silentReader := dial(t, address)
	_, _ = dial(t, address)
	require.Eventually(t, func() bool { return p.Open() == 3 }, maxWait, time.Millisecond)
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.core.Older(time.Now(), 0)) == 0
	}, maxWait, time.Millisecond)
	time.Sleep(300 * time.Millisecond) // The connections settle; see budgeter.
	c, br := dial(t, address)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	assert.Equal(t, http.StatusNoContent, statusOf(t, br), "a new connection is not served")
	_, err = silentReader.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "the connection without a request for longest must be closed")
	close(release)
	assert.Equal(t, http.StatusNoContent, statusOf(t, slowReader), "a request was cut for a new connection")
	assert.Equal(t, int64(1), p.counters.Evicted.Load())
}

// TestConnectionsOfOneAddressAreBounded opens more connections than one address may have: others must still find room.
func TestConnectionsOfOneAddressAreBounded(t *testing.T) {
	p, address := serve(t, Config{PerAddress: 2}, http.HandlerFunc(noContent))
	for range 5 {
		dial(t, address)
	}
	require.Eventually(t, func() bool { return p.counters.Refused.Load() == 3 }, maxWait, time.Millisecond)
	assert.Equal(t, 2, p.Open())
}

// TestAnswersThatAreNotTakenEnd asks for a large answer and reads nothing, or reads slowly. It guards against answers that are
// held for ever, and against a slow reader that is cut.
func TestAnswersThatAreNotTakenEnd(t *testing.T) {
	const size = 12 << 20
	for _, isReading := range []bool{false, true} {
		failed := make(chan error, 1)
		p, address := serve(t, Config{Heads: testLimits, Bodies: newBodies()},
			http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, err := w.Write(make([]byte, size))
				failed <- err
			}))
		d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
			})
		}}
		c, err := d.DialContext(context.Background(), "tcp4", address)
		require.NoError(t, err)
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		if !isReading {
			assert.Error(t, <-failed)
			assert.Equal(t, int64(1), p.counters.AnswersStalled.Load())
			_ = c.Close()
			continue
		}
		// The reader takes 256 KiB every 100 ms, so the answer takes about 5 s: longer than it may make no progress.
		read := 0
		for buffer := make([]byte, 256<<10); read < size; time.Sleep(100 * time.Millisecond) {
			n, err := io.ReadFull(c, buffer)
			read += n
			if err != nil {
				break
			}
		}
		assert.NoError(t, <-failed, "a slow reader was cut")
		_ = c.Close()
	}
}

// TestIdleCloseCutsNoRequest lets the check for idle connections and a request meet: the check has found the connection idle when
// the server has read the request's head but not recorded the connection as active. The body comes later.
func TestIdleCloseCutsNoRequest(t *testing.T) {
	mu, bodies := sync.Mutex{}, []string(nil)
	p, address := serve(t, Config{Heads: testLimits, Bodies: newBodies()},
		http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			time.Sleep(20 * time.Millisecond)
			if err != nil || r.Context().Err() != nil {
				panic(http.ErrAbortHandler)
			}
			mu.Lock()
			defer mu.Unlock()
			bodies = append(bodies, string(body))
		}))
	c, br := dial(t, address)
	ask := func() error {
		if _, err := io.WriteString(c, "POST /lots HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
		if _, err := io.WriteString(c, "body"); err != nil {
			return err
		}
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	require.NoError(t, ask())
	require.Eventually(t, func() bool { return p.Idle() == 1 }, maxWait, time.Millisecond)

	p.mu.Lock()
	closed := make(chan int, 1)
	go func() { closed <- p.EndOlder(time.Now().Add(time.Minute+time.Second), time.Minute) }()
	time.Sleep(50 * time.Millisecond)
	answered := make(chan error, 1)
	go func() { answered <- ask() }()
	time.Sleep(50 * time.Millisecond)
	p.mu.Unlock()

	assert.Equal(t, 1, <-closed)
	require.NoError(t, <-answered, "the connection of a request that was read is closed without an answer")
	require.NoError(t, ask(), "the connection must still be open")
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, []string{"body", "body", "body"}, bodies)
}
