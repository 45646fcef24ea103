package acceptor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzHeads sends any beginning of a connection to a port, in two pieces. It guards against a server that panics or hangs, and
// against bytes and connections that stay counted.
func FuzzHeads(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), 5)
	f.Add([]byte("\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\n"), 3)
	f.Add([]byte("GET / HTTP/1.1\r\nX: "+strings.Repeat("x", 12<<10)), 4000)
	f.Add([]byte("GET / HTTP/1.1\r\n"+strings.Repeat("a: b\r\n", 2000)), 40)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n"), 60)
	f.Add([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		bodies := newBodies()
		limits := func() HeadLimits { return HeadLimits{Bytes: 1024, Timeout: 50 * time.Millisecond} }
		p, address := serve(t, Config{Heads: limits, Bodies: bodies}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, lease, _ := bodies.Read(w, r, 1024)
			lease.Close()
		}))
		c, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		cut = max(0, min(cut, len(text)))
		_, _ = c.Write(text[:cut])
		_, _ = c.Write(text[cut:])
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(maxWait))
		_, _ = io.Copy(io.Discard, bufio.NewReader(c))
		_ = c.Close()
		require.Eventually(t, func() bool { return p.Open() == 0 && bodies.Held() == 0 }, maxWait, time.Millisecond)
	})
}
