package dialer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// FuzzAnswer lets an endpoint write arbitrary bytes: an answer to another request is never returned, and a connection is kept
// only if no bytes are left on it.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(reply("1", "Content-Length: 2\r\n", "ok")))
	f.Add([]byte(reply("1", "Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n")))
	f.Add([]byte(reply("other", "Content-Length: 3\r\n", "bad") + reply("1", "Content-Length: 2\r\n", "ok") + "more"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + reply("1", "", "to the end")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\nKeep-Alive: timeout=1e99\r\n\r\nshort"))
	f.Add([]byte("HTTP/1.1 999"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(far))
			_, _ = far.Write(raw)
			_ = far.Close()
		}()
		p := NewPool(atMost(1))
		c := newConn(near, "e", netip.MustParseAddrPort("127.0.0.1:1"))
		x, err := p.Do(context.Background(), c, Request{
			Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, IDHeader: "X-Id", ID: "1",
		})
		if err != nil {
			return
		}
		if id := x.Response.Header.Get("X-Id"); id != "" {
			assert.Equal(t, "1", id)
		}
		_, err = io.ReadAll(x)
		x.Close()
		if len(p.idle["e"]) > 0 {
			assert.NoError(t, err, "the connection was kept after a truncated answer")
			assert.Zero(t, c.br.Buffered(), "the connection was kept with unread bytes")
			assert.False(t, strings.EqualFold(x.Response.Header.Get("Connection"), "close"))
		}
	})
}
