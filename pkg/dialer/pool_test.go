package dialer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// serveRaw calls answer for each connection; the length of the returned channel is the number of connections.
func serveRaw(t *testing.T, answer func(conn net.Conn, br *bufio.Reader)) (netip.AddrPort, <-chan struct{}) {
	t.Helper()
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	opened := make(chan struct{}, 100)
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			opened <- struct{}{}
			go func() {
				defer func() { _ = conn.Close() }()
				answer(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return netip.MustParseAddrPort(socket.Addr().String()), opened
}

// answerEach reads requests one after another and calls answer with the id of each, until answer returns false.
func answerEach(br *bufio.Reader, answer func(id string) bool) {
	for {
		r, err := readHead(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !answer(r.Header.Get("X-Id")) {
			return
		}
	}
}

func atMost(n int) func(string) int { return func(string) int { return n } }

func readHead(br *bufio.Reader) (*http.Request, error) { return http.ReadRequest(br) }

// roundTrip sends a request to the endpoint and returns the body of its answer.
func roundTrip(t *testing.T, p *Pool, addr netip.AddrPort, id string, body []byte) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	conn, err := p.Get(ctx, "e", addr, id)
	if err != nil {
		return "", err
	}
	x, err := p.Do(ctx, conn, Request{
		Method: http.MethodPost, Target: "/a%2Fb?c", Host: "h.example", Header: http.Header{"X-Id": {id}}, Body: body,
		IDHeader: "X-Id", ID: id,
	})
	if err != nil {
		return "", err
	}
	defer x.Close()
	text, err := io.ReadAll(x)
	return string(text), err
}

func reply(id, extra, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + extra + "\r\n" + body
}

// TestReuse checks after which answers a connection is reused.
func TestReuse(t *testing.T) {
	cases := []struct {
		name, extra, body string
		// trailing is written after the answer; closes ends the connection after it.
		trailing string
		closes   bool
		isReuse  bool
	}{
		{"a complete answer", "Content-Length: 2\r\n", "ok", "", false, true},
		{"an answer in chunks", "Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n", "", false, true},
		{"an answer that says close", "Content-Length: 2\r\nConnection: close\r\n", "ok", "", false, false},
		{"an idle limit that leaves no margin", "Content-Length: 2\r\nKeep-Alive: timeout=0\r\n", "ok", "", false, false},
		{"bytes after the answer", "Content-Length: 2\r\n", "ok", "HTTP/1.1 200 OK\r\n\r\n", false, false},
		{"an endpoint that closes", "Content-Length: 2\r\n", "ok", "", true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			addr, opened := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
				answerEach(br, func(id string) bool {
					_, _ = io.WriteString(conn, reply(id, c.extra, c.body)+c.trailing)
					return !c.closes
				})
			})
			p := NewPool(atMost(4))
			for _, id := range []string{"1", "2"} {
				text, err := roundTrip(t, p, addr, id, []byte("body"))
				require.NoError(t, err)
				assert.Equal(t, "ok", text)
				awaitInput(p, c.trailing != "" || c.closes)
			}
			want := 2
			if c.isReuse {
				want = 1
			}
			assert.Len(t, opened, want)
		})
	}
}

// awaitInput waits until the bytes or the close that follow an answer have reached the idle connection.
func awaitInput(p *Pool, isExpected bool) {
	for limit := time.Now().Add(time.Second); isExpected && time.Now().Before(limit); {
		p.mu.Lock()
		list := p.idle["e"]
		isDone := len(list) == 0 || !list[0].hasNoInput()
		p.mu.Unlock()
		if isDone {
			return
		}
	}
}

// TestEarlyAnswerEndsItsConnection lets an endpoint answer before it has read a long body and read the rest later. The
// connection must not be reused, since the endpoint would take the next request for the rest of the body.
func TestEarlyAnswerEndsItsConnection(t *testing.T) {
	addr, opened := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
		r, err := readHead(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, reply(r.Header.Get("X-Id"), "Content-Length: 2\r\n", "ok"))
		_, err = io.Copy(io.Discard, r.Body)
		if err == nil {
			_, err = readHead(br)
		}
		assert.Error(t, err, "the connection must not carry another request")
	})
	p := NewPool(atMost(4))
	for _, id := range []string{"1", "2"} {
		text, err := roundTrip(t, p, addr, id, bytes.Repeat([]byte("x"), 16<<20))
		require.NoError(t, err)
		assert.Equal(t, "ok", text)
	}
	assert.Len(t, opened, 2)
}

func TestStrayAnswersAreSkipped(t *testing.T) {
	addr, _ := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
		r, err := readHead(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, reply("other", "Content-Length: 3\r\n", "bad")+
			"HTTP/1.1 100 Continue\r\n\r\n"+reply(r.Header.Get("X-Id"), "Content-Length: 2\r\n", "ok"))
	})
	text, err := roundTrip(t, NewPool(atMost(4)), addr, "1", nil)
	require.NoError(t, err)
	assert.Equal(t, "ok", text)
}

// TestResetTruncatesAnswer sends an answer without a length: it is complete if the connection is closed, and truncated if the
// connection is reset.
func TestResetTruncatesAnswer(t *testing.T) {
	for _, isReset := range []bool{false, true} {
		addr, _ := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
			r, err := readHead(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, reply(r.Header.Get("X-Id"), "", "part"))
			if isReset {
				assert.NoError(t, conn.(*net.TCPConn).SetLinger(0))
			}
		})
		_, err := roundTrip(t, NewPool(atMost(4)), addr, "1", nil)
		assert.Equal(t, isReset, err != nil)
	}
}

func TestErrorsSayWhetherRequestWasSent(t *testing.T) {
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	gone := netip.MustParseAddrPort(socket.Addr().String())
	require.NoError(t, socket.Close())
	_, err = roundTrip(t, NewPool(atMost(4)), gone, "1", nil)
	connect := (*ConnectError)(nil)
	assert.True(t, errors.As(err, &connect))

	addr, opened := serveRaw(t, func(_ net.Conn, br *bufio.Reader) { _, _ = readHead(br) })
	_, err = roundTrip(t, NewPool(atMost(4)), addr, "1", nil)
	exchange := (*ExchangeError)(nil)
	assert.True(t, errors.As(err, &exchange))
	assert.Len(t, opened, 1, "a request must be sent once")
	assert.True(t, strings.Contains(err.Error(), addr.String()))
}

// TestIdleConnectionsFollowTheBound lowers the limit while connections are idle, as happens when VMs join.
func TestIdleConnectionsFollowTheBound(t *testing.T) {
	addr, opened := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
		answerEach(br, func(id string) bool {
			_, _ = io.WriteString(conn, reply(id, "Content-Length: 2\r\n", "ok"))
			return true
		})
	})
	limit := 3
	p := NewPool(func(string) int { return limit })
	conns := make([]*Conn, 4)
	for i := range conns {
		var err error
		conns[i], err = p.Get(t.Context(), "e", addr, "0")
		require.NoError(t, err)
	}
	for _, c := range conns {
		p.put(c)
	}
	assert.Len(t, p.idle["e"], 3)
	limit = 1
	p.Sweep(time.Now())
	require.Len(t, p.idle["e"], 1)
	assert.Same(t, conns[2], p.idle["e"][0], "the connection that was used last must stay")
	// Connections may be counted after Get returns. A new connection would be counted before its answer, since serveRaw counts
	// a connection before it answers on it.
	require.Eventually(t, func() bool { return len(opened) == 4 }, 5*time.Second, time.Millisecond)
	_, err := roundTrip(t, p, addr, "1", nil)
	require.NoError(t, err)
	assert.Len(t, opened, 4, "the idle connection must be reused")
	limit = 0
	p.Sweep(time.Now())
	assert.Empty(t, p.idle, "an endpoint that is gone, so has limit 0, must have no connections")
}

// TestRepeatedRefusalIsNoAnswerToTheNextRequest has an endpoint write its refusal of the first request once more when the next
// one arrives, which it runs.
func TestRepeatedRefusalIsNoAnswerToTheNextRequest(t *testing.T) {
	for _, c := range []struct{ name, header, next string }{
		{"the refusal names no request", "", "2"},
		{"the refusal names its request", "X-Id: 1\r\n", "2"},
		{"the same request is sent again", "X-Id: 1\r\n", "1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n" + c.header + "\r\nfull"
			hasRefused := atomic.Bool{}
			addr, _ := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
				isRefused := false
				answerEach(br, func(id string) bool {
					if hasRefused.CompareAndSwap(false, true) {
						isRefused = true
						_, _ = io.WriteString(conn, refusal)
						return true
					}
					if isRefused {
						_, _ = io.WriteString(conn, refusal)
					}
					_, _ = io.WriteString(conn, reply(id, "Content-Length: 2\r\n", "ok"))
					return true
				})
			})
			p := NewPool(atMost(4))
			text, err := roundTrip(t, p, addr, "1", []byte("body"))
			require.NoError(t, err)
			assert.Equal(t, "full", text)
			text, err = roundTrip(t, p, addr, c.next, []byte("body"))
			require.NoError(t, err)
			assert.Equal(t, "ok", text, "the first refusal answers a request that the endpoint runs")
		})
	}
}

// TestCopyOfAnEarlierAnswerIsNoAnswerToTheNextRun sends a request again under its id, with others before it or none. The endpoint
// writes all answers of the connection once more before each further one; each run has an answer of its own.
func TestCopyOfAnEarlierAnswerIsNoAnswerToTheNextRun(t *testing.T) {
	chunked := func(run string) string { return "Transfer-Encoding: chunked\r\n\r\n5\r\nrun " + run + "\r\n0\r\n\r\n" }
	sized := func(run string) string { return "Content-Length: 5\r\n\r\nrun " + run }
	for _, c := range []struct {
		name, status string
		rest         func(run string) string
		ids          string
		connections  int
	}{
		{"a failure", "500 Internal Server Error", sized, "11", 2},
		{"a failure, another request between", "500 Internal Server Error", sized, "121", 2},
		{"an answer with a length", "200 OK", sized, "11", 2},
		{"an answer in chunks", "200 OK", chunked, "121", 2},
		{"a refusal", "503 Service Unavailable", sized, "11", 2},
		{"refusals of other requests", "503 Service Unavailable", sized, "123", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			runs := atomic.Int64{}
			addr, opened := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
				copies := ""
				answerEach(br, func(id string) bool {
					answer := "HTTP/1.1 " + c.status + "\r\nX-Id: " + id + "\r\n" + c.rest(strconv.FormatInt(runs.Add(1), 10))
					_, _ = io.WriteString(conn, copies+answer)
					copies += answer
					return true
				})
			})
			p := NewPool(atMost(4))
			for n, id := range strings.Split(c.ids, "") {
				text, err := roundTrip(t, p, addr, id, []byte("body"))
				require.NoError(t, err)
				assert.Equal(t, "run "+strconv.Itoa(n+1), text)
			}
			assert.Len(t, opened, c.connections)
		})
	}
}

// TestManyRequestsShareAConnection sends more requests than a connection remembers.
func TestManyRequestsShareAConnection(t *testing.T) {
	addr, opened := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
		answerEach(br, func(id string) bool {
			_, _ = io.WriteString(conn, reply(id, "Content-Length: 2\r\n", "ok"))
			return true
		})
	})
	p := NewPool(atMost(4))
	for n := range 3 * maxCarriedIDs {
		_, err := roundTrip(t, p, addr, strconv.Itoa(n), nil)
		require.NoError(t, err)
	}
	assert.Len(t, opened, 1)
	require.Len(t, p.idle["e"], 1)
	assert.Len(t, p.idle["e"][0].carried.ids, maxCarriedIDs)
}

// TestExtraRefusalWithoutAnIDIsNoRefusalOfTheNextRequest has an endpoint write a refusal that names no request before its answer
// to the second request, which it runs. The refusal of a request that is the first on its connection needs no name.
func TestExtraRefusalWithoutAnIDIsNoRefusalOfTheNextRequest(t *testing.T) {
	for _, status := range []string{
		"400 Bad Request", "421 Misdirected Request", "429 Too Many Requests", "503 Service Unavailable",
	} {
		t.Run(status, func(t *testing.T) {
			refusal := "HTTP/1.1 " + status + "\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
			addr, opened := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
				isUsed := false
				answerEach(br, func(id string) bool {
					switch {
					case isUsed:
						_, _ = io.WriteString(conn, refusal+reply(id, "Content-Length: 2\r\n", "ok"))
					case id == "" || id == "refused":
						_, _ = io.WriteString(conn, refusal)
					default:
						_, _ = io.WriteString(conn, reply(id, "Content-Length: 2\r\n", "ok"))
					}
					isUsed = true
					return true
				})
			})
			p := NewPool(atMost(4))
			text, err := roundTrip(t, p, addr, "1", []byte("body"))
			require.NoError(t, err)
			assert.Equal(t, "ok", text)
			text, err = roundTrip(t, p, addr, "2", []byte("body"))
			exchange, unnamed := (*ExchangeError)(nil), (*UnnamedAnswerError)(nil)
			require.ErrorAs(t, err, &exchange, "the refusal answers a request that the endpoint runs: %q", text)
			require.ErrorAs(t, err, &unnamed)
			assert.True(t, exchange.IsReused)
			assert.Empty(t, p.idle, "the connection is kept")
			for n, id := range []string{"refused", ""} {
				text, err = roundTrip(t, p, addr, id, []byte("body"))
				require.NoError(t, err)
				assert.Equal(t, "full", text)
				assert.Len(t, opened, n+2)
			}
		})
	}
}

// TestConnectionThatWasOnlyReachedIsFresh opens a connection ahead of its first request, whose refusal needs no name.
func TestConnectionThatWasOnlyReachedIsFresh(t *testing.T) {
	addr, opened := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
		answerEach(br, func(string) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull")
			return true
		})
	})
	p := NewPool(atMost(4))
	require.NoError(t, p.Reach(t.Context(), "e", addr))
	text, err := roundTrip(t, p, addr, "1", nil)
	require.NoError(t, err)
	assert.Equal(t, "full", text)
	assert.Len(t, opened, 1)
}
