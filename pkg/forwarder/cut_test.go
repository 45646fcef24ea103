package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
)

// newCuttingDispatcher returns a dispatcher with one endpoint, which writes the answer to each request and closes or resets the
// connection.
func newCuttingDispatcher(t *testing.T, answer string, isReset bool) *Dispatcher {
	t.Helper()
	return newRawDispatcher(t, func(c net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, answer)
		if isReset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

// newEarlyDispatcher returns a dispatcher with one endpoint, which answers before it has read the body of a request, and then
// closes the connection.
func newEarlyDispatcher(t *testing.T, answer string) *Dispatcher {
	t.Helper()
	return newRawDispatcher(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, answer)
		time.Sleep(20 * time.Millisecond)
	})
}

// newRawDispatcher returns a dispatcher with one endpoint, for which the function answers on each connection.
func newRawDispatcher(t *testing.T, answer func(c net.Conn, r *http.Request)) *Dispatcher {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				answer(c, r)
			}()
		}
	}()
	e := declarer.Endpoint{
		Meta: declarer.Meta{Name: "e"}, Address: netip.MustParseAddrPort(ln.Addr().String()), Region: "r", AvailabilityZone: "a",
		Models: []string{testModel}, Slots: 10,
	}
	shared := NewSharedRouter(rand.New(rand.NewPCG(1, 1)))
	shared.Handle(router.Configured{Region: "r", AvailabilityZone: "a", Endpoints: []router.Endpoint{
		{Name: e.Name, Region: e.Region, AvailabilityZone: e.AvailabilityZone, Serves: e.Models, Slots: e.Slots},
	}})
	log, _ := logtest.NewNullLogger()
	catalogue := &crashingFleet{engines: map[string]declarer.Endpoint{e.Name: e}}
	return NewDispatcher(grantAll{}, catalogue, shared, log, func(string) {})
}

// TestCutServiceAnswerIsNoCompleteAnswer cuts the answer of a plain service after each of its bytes, except within a body that
// nothing frames: a close there is its end.
func TestCutServiceAnswerIsNoCompleteAnswer(t *testing.T) {
	const body, head = "seven chairs\n", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	for _, c := range []struct {
		name, method, answer, body string
		isUnframed                 bool
	}{
		{"length", http.MethodPost, head + "Content-Length: 13\r\n\r\n" + body, body, false},
		{"chunks", http.MethodPost, head + "Transfer-Encoding: chunked\r\n\r\n6\r\nseven \r\n7\r\nchairs\n\r\n0\r\n\r\n", body, false},
		{"read", http.MethodGet, head + "Content-Length: 13\r\n\r\n" + body, body, false},
		{
			"after an informational answer", http.MethodPost,
			"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 13\r\n\r\n" + body, body, false,
		},
		{"head alone", http.MethodHead, head + "Content-Length: 13\r\n\r\n", "", false},
		{"until the close", http.MethodPost, head + "Connection: close\r\n\r\n" + body, body, true},
	} {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", c.name, isReset), func(t *testing.T) {
				t.Parallel()
				ask := func(answer string, isRepeatable bool) (ServiceReply, error) {
					call := Call{Serves: testModel, Deadline: time.Now().Add(5 * time.Second), IsRepeatable: isRepeatable}
					return newCuttingDispatcher(t, answer, isReset).Service(t.Context(), NewPools(), call,
						ServiceRequest{Method: c.method, Path: "/book", Header: http.Header{}, Body: []byte("body")})
				}
				end := len(c.answer)
				if c.isUnframed && !isReset {
					end = strings.Index(c.answer, "\r\n\r\n") + len("\r\n\r\n")
				}
				for n := range end {
					reply, err := ask(c.answer[:n], n%2 == 0)
					assert.Error(t, err, "the answer that was cut after %d bytes is complete: %q", n, reply.Body)
				}
				if !isReset {
					reply, err := ask(c.answer, true)
					require.NoError(t, err)
					assert.Equal(t, c.body, string(reply.Body))
				}
			})
		}
	}
}

// TestCutChatAnswerIsNoCompleteAnswer cuts the stream of a chat after each of its bytes: it is complete only if it had its end.
func TestCutChatAnswerIsNoCompleteAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	const events = `id: 1` + "\n" + `data: {"choices":[{"delta":{"content":"ab"}}]}` + "\n\n" +
		`id: 2` + "\n" + `data: {"choices":[{"delta":{"content":"cd"},"finish_reason":"stop"}],"usage":{"completion_tokens":2}}` +
		"\n\n" + "data: [DONE]\n\n"
	for _, c := range []struct{ name, answer string }{
		{"length", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(events), events)},
		{"chunks", fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(events), events)},
		{"until the close", head + "Connection: close\r\n\r\n" + events},
	} {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", c.name, isReset), func(t *testing.T) {
				t.Parallel()
				ask := func(answer string) (string, *Answer, error) {
					text := ""
					call := Call{Serves: testModel, Tokens: 2, Deadline: time.Now().Add(5 * time.Second), IsRepeatable: true}
					a, err := newCuttingDispatcher(t, answer, isReset).Chat(t.Context(), NewPools(), call, []byte(`{"model":"m"}`),
						func(p Piece) error {
							text += p.Text
							return nil
						})
					return text, a, err
				}
				whole := strings.Index(c.answer, "[DONE]") + len("[DONE]")
				for n := range len(c.answer) {
					text, a, err := ask(c.answer[:n])
					if err == nil {
						assert.GreaterOrEqual(t, n, whole, "a chat that was cut after %d bytes is complete", n)
						assert.Equal(t, "abcd", text)
						assert.Equal(t, "abcd", a.Text())
					}
				}
				if !isReset {
					text, _, err := ask(c.answer)
					require.NoError(t, err)
					assert.Equal(t, "abcd", text)
				}
			})
		}
	}
}
