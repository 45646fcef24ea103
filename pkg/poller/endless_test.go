package poller

import (
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
)

// oneEngine is a fleet of one engine.
type oneEngine struct{ endpoint declarer.Endpoint }

func (f oneEngine) AllocatedEndpoints() []declarer.Endpoint { return []declarer.Endpoint{f.endpoint} }

// TestEndlessAnswersArePolledInPart has an engine send bytes without end, in a head or a body: the poll ends by itself, before
// its time is over, and reads no more than the largest answer and head; the next poll of a sound engine is passed on.
func TestEndlessAnswersArePolledInPart(t *testing.T) {
	// sockets is what the kernel's buffers may hold beyond what was read.
	const sockets = 40 << 20
	for name, form := range map[string]struct{ start, repeat string }{
		"text":    {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"running\": \"", "x"},
		"list":    {"HTTP/1.1 200 OK\r\n\r\n[{\"number\":1}", ",{}"},
		"header":  {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"headers": {"HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n"},
		"hints":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			written := atomic.Int64{}
			addr := serve(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, form.start)
				block := strings.Repeat(form.repeat, 1+4096/len(form.repeat))
				for {
					n, err := io.WriteString(conn, block)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			log, lines := logtest.NewNullLogger()
			reports := atomic.Int64{}
			h := Handlers{
				Allocator: func(string, allocator.Input) { reports.Add(1) }, Router: func(router.Input) {},
			}
			faulty := declarer.Endpoint{Meta: declarer.Meta{Name: "e"}, Address: addr, Models: []string{"m"}}
			p := New(oneEngine{faulty}, h, log)
			start := time.Now()
			p.round(t.Context())
			assert.Less(t, time.Since(start), 2*pollTimeout)
			// Two calls: the load and the cache events.
			assert.Less(t, written.Load(), int64(2*(maxAnswerBytes+maxHeadBytes+sockets)), "bytes sent")
			if name == "text" || name == "list" {
				require.NotEmpty(t, lines.AllEntries())
				assert.Contains(t, lines.LastEntry().Data["error"].(error).Error(), "more than 1048576 bytes")
			}
			assert.Zero(t, reports.Load())
			sound := serve(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"running\":1,\"at\":\"2026-01-01T00:00:00Z\"}")
			})
			p.fleet = oneEngine{declarer.Endpoint{Meta: declarer.Meta{Name: "s"}, Models: []string{"m"}, Address: sound}}
			p.round(t.Context())
			assert.EqualValues(t, 1, reports.Load(), "a sound engine is not polled")
		})
	}
}

// serve calls answer for each connection once a request has begun, and closes the connection after it.
func serve(t *testing.T, answer func(net.Conn)) netip.AddrPort {
	t.Helper()
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := conn.Read(make([]byte, 4096)); err == nil {
					answer(conn)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(socket.Addr().String())
}
