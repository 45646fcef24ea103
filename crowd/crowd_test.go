package crowd

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// partOfEach is the part of each crowd that is sent if all come at once.
	partOfEach = 4
	// endless is how much a client without end sends at most.
	endless = 1 << 20
	// holdTime is how long a crowd stays after it has sent all: the VM may go on reading and decoding meanwhile.
	holdTime = 3 * time.Second
	// leftMb bounds the memory that a crowd leaves behind.
	leftMb = memoryMb / 4
)

// sizes are the numbers of clients of the crowds, by what they exceed.
type sizes struct {
	bodies, heads, readers, descriptors int
}

// full is the size of crowds that come alone. The bodies have 240 MB, the heads up to 400 MB, and there are more connections than
// the VM may have descriptors.
var full = sizes{bodies: 60, heads: 400, readers: 200, descriptors: 1200}

func (z sizes) dividedBy(n int) sizes {
	return sizes{bodies: z.bodies / n, heads: z.heads / n, readers: z.readers / n, descriptors: z.descriptors / n}
}

// attack is one crowd: it sends to the site and returns when all is sent.
type attack struct {
	name    string
	prepare func(s *site)
	send    func(c *crowd, s *site)
}

func text(s string) []byte { return []byte(s) }

func repeated(s string, n int) []byte { return bytes.Repeat([]byte(s), n) }

// to returns an attack of n clients of a form to the callers' port.
func to(n int, pieces ...piece) func(c *crowd, s *site) {
	return func(c *crowd, s *site) { c.send(n, form{address: s.callers(), pieces: pieces}) }
}

const endlessLine = "GET /status/1 HTTP/1.1\r\nHost: " + host + "\r\nX-Long: "

var (
	bodyHead  = text(headOf("POST", "/status/1", fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
	chunkHead = text(headOf("POST", "/status/1", "Transfer-Encoding: chunked"))
	jobHead   = text(headOf("POST", "/batch/1", fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
)

func attacks(z sizes) []attack {
	whole := submission(4, 700<<10)
	wholeJob := text(headOf("POST", "/batch/whole", fmt.Sprintf("Content-Length: %d", len(whole))) + whole)
	long := text(headOf("GET", "/status/1", "X-Long: "+strings.Repeat("x", 2*maxHeaderBytes)))
	manyLines := text(headOf("GET", "/status/1", strings.TrimSuffix(strings.Repeat("a: b\r\n", 40_000), "\r\n")))
	return []attack{
		{name: "head over the limit", send: to(z.heads, piece{data: long, times: 1})},
		{name: "head of very many lines", send: to(z.heads, piece{data: manyLines, times: 1})},
		{name: "header line without end", send: to(z.heads, piece{data: text(endlessLine), times: 1},
			piece{data: repeated("x", 16<<10), times: endless / (16 << 10)})},
		{name: "header lines without end", send: to(z.heads, piece{data: text(headOf("GET", "/status/1")[:60]), times: 1},
			piece{data: repeated("a: b\r\n", 2048), times: endless / (6 * 2048)})},
		// The port took 256 KiB of each head whatever the configuration says, and waited 10 s for the rest.
		{name: "header line of 250 KB that stops", send: to(z.heads, piece{data: text(endlessLine), times: 1},
			piece{data: repeated("x", 250_000), times: 1})},
		{name: "header lines of 250 KB that stop", send: to(z.heads, piece{data: text(headOf("GET", "/status/1")[:60]), times: 1},
			piece{data: repeated("a: b\r\n", 250_000/6), times: 1})},
		{name: "empty lines without end", send: to(z.heads, piece{data: repeated("\r\n", 8<<10), times: endless / (16 << 10)})},
		{name: "bodies one byte short", send: to(z.bodies, piece{data: bodyHead, times: 1},
			piece{data: repeated("0", maxBodyBytes-1), times: 1})},
		{name: "bodies one byte short, piece by piece", send: to(z.bodies, piece{data: bodyHead, times: 1},
			piece{data: repeated("0", 128<<10), times: maxBodyBytes/(128<<10) - 1, pause: 50 * time.Millisecond},
			piece{data: repeated("0", 128<<10-1), times: 1})},
		{name: "bodies in chunks of 64 KiB without the last", send: to(z.bodies, piece{data: chunkHead, times: 1},
			piece{data: chunkOf(64 << 10), times: maxBodyBytes/(64<<10) - 1})},
		{name: "bodies in chunks of one byte without the last", send: to(z.bodies, piece{data: chunkHead, times: 1},
			piece{data: bytes.Repeat(chunkOf(1), 16<<10), times: maxBodyBytes/(16<<10) - 1})},
		{name: "submissions one byte short", send: to(z.bodies, piece{data: jobHead, times: 1},
			piece{data: repeated("0", maxBodyBytes-1), times: 1})},
		{name: "submissions, whole", send: to(z.bodies, piece{data: wholeJob, times: 1})},
		{name: "online requests whose answers are never read", send: func(c *crowd, s *site) {
			c.send(z.readers, form{address: s.callers(), neverReads: true, pieces: []piece{
				{data: text(headOf("POST", "/note/1", "X-Token-Count: 450,250", "Content-Length: 0")), times: 20},
			}})
		}},
		{
			name: "results that are never read", prepare: func(s *site) { s.storeResults("big", 3) },
			send: func(c *crowd, s *site) {
				c.send(z.readers, form{address: s.callers(), neverReads: true, pieces: []piece{
					{data: text(headOf("GET", "/lots/big?after=0")), times: 20},
				}})
			},
		},
		{name: "connections over the limit of descriptors", send: to(z.descriptors, piece{data: text("GET "), times: 1})},
		{name: "connections that send nothing, over the limit", send: to(z.descriptors)},
		{name: "readiness port", send: sendToPort(z, (*site).ready)},
		{name: "metrics port", send: sendToPort(z, (*site).metrics)},
		{name: "port for other VMs", send: func(c *crowd, s *site) { sendToPeers(z, c, s) }},
	}
}

// sendToPort sends header lines without end, and then connections over the limit of descriptors, to a port.
func sendToPort(z sizes, address func(*site) string) func(c *crowd, s *site) {
	return func(c *crowd, s *site) {
		c.send(z.heads, form{address: address(s), pieces: []piece{
			{data: text(headOf("GET", "/")[:40]), times: 1}, {data: repeated("a: b\r\n", 2048), times: endless / (6 * 2048)},
		}})
		c.send(z.descriptors, form{address: address(s), pieces: []piece{{data: text("GET "), times: 1}}})
	}
}

// sendToPeers sends calls of 4 MiB one byte short, and then connections over the limit of descriptors, to the port for other
// VMs.
func sendToPeers(z sizes, c *crowd, s *site) {
	c.send(z.bodies, form{address: s.peers(), pieces: []piece{
		{data: openCall(), times: 1}, {data: callData(), times: 255, pause: 5 * time.Millisecond},
	}})
	c.send(z.descriptors, form{address: s.peers(), pieces: []piece{{data: text(http2.ClientPreface), times: 1}}})
}

// openCall returns the beginning of a connection with one call whose message is 4 MiB less a byte.
func openCall() []byte {
	b, fields := bytes.Buffer{}, bytes.Buffer{}
	b.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&b, nil)
	_ = framer.WriteSettings()
	encoder := hpack.NewEncoder(&fields)
	for _, f := range [][2]string{
		{":method", "POST"},
		{":scheme", "http"},
		{":path", "/dogwoodledge.Informer/Rows"},
		{":authority", host},
		{"content-type", "application/grpc"},
		{"te", "trailers"},
	} {
		_ = encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: fields.Bytes(), EndHeaders: true})
	_ = framer.WriteData(1, false, []byte{0, 0, 0x3f, 0xff, 0xff})
	return b.Bytes()
}

// callData returns a frame with 16 KiB less a byte of a message.
func callData() []byte {
	b := bytes.Buffer{}
	_ = http2.NewFramer(&b, nil).WriteData(1, false, make([]byte, 16<<10-1))
	return b.Bytes()
}

// TestCrowds sends each crowd to a VM of its own. It guards against a process that is ended by the memory or the descriptors that
// clients outside the limits take, that serves nobody else while they stay, or that keeps the memory after they left.
func TestCrowds(t *testing.T) {
	for _, a := range attacks(full) {
		t.Run(a.name, func(t *testing.T) { runAttack(t, a) })
	}
}

// TestAllCrowdsAtOnce sends a part of each crowd to one VM at the same time.
func TestAllCrowdsAtOnce(t *testing.T) {
	runAttack(t, attack{
		name: "all at once", prepare: func(s *site) { s.storeResults("big", 3) },
		send: func(c *crowd, s *site) {
			done := make(chan struct{})
			all := attacks(full.dividedBy(partOfEach))
			for _, a := range all {
				go func() {
					a.send(c, s)
					done <- struct{}{}
				}()
			}
			for range all {
				<-done
			}
		},
	})
}

// runAttack checks the bounds while the crowd is there and after it has left.
func runAttack(t *testing.T, a attack) {
	s := newSite(t)
	if a.prepare != nil {
		a.prepare(s)
	}
	require.Eventually(t, s.isServed, waitTimeout, pollPause, "no ordinary request is answered before the crowd")
	pid := s.cmd.Process.Pid
	before := memoryMbOf(pid, "VmRSS")
	m, c := newMeter(pid), &crowd{}
	a.send(c, s)
	// The crowd stays for this long; nothing is checked by time.
	time.Sleep(holdTime)
	report, beside := c.report(), s.ordinary()
	served := assert.Eventually(t, s.isServed, waitTimeout, pollPause, "no ordinary request is answered beside the crowd")
	highest, fds := memoryMbOf(pid, "VmHWM"), m.end()
	c.leave()
	isServedAfter := assert.Eventually(t, s.isServed, waitTimeout, pollPause, "no ordinary request is answered after the crowd")
	left := 0.0
	assert.Eventually(t, func() bool {
		left = memoryMbOf(pid, "VmRSS") - before
		return left <= leftMb
	}, settleTimeout, pollPause, "memory after the crowd")
	assert.True(t, s.isAlive(), "the process has ended")
	assert.LessOrEqual(t, highest, float64(memoryMb), "highest memory in MB")
	assert.LessOrEqual(t, fds, maxFds, "open descriptors")
	text, err := os.ReadFile(s.log)
	require.NoError(t, err)
	for _, mark := range []string{"panic: ", "fatal error: "} {
		assert.NotContains(t, string(text), mark)
	}
	t.Logf("MEASURED | %s | %.0f MB | %d | %s | %s | served %t, %t | left %.0f MB | log %d kB",
		a.name, highest, fds, report, beside, served, isServedAfter, left, len(text)/1000)
}

// ordinary returns what an ordinary request of 2 KB is answered.
func (s *site) ordinary() string {
	start := time.Now()
	status, _ := s.call(http.MethodPost, "/status/ordinary", "ordinary", strings.Repeat("o", 2048))
	return fmt.Sprintf("%d after %d ms", status, time.Since(start).Milliseconds())
}

// isServed reports whether an ordinary request is served.
func (s *site) isServed() bool {
	status, _ := s.call(http.MethodPost, "/status/ordinary", "ordinary", strings.Repeat("o", 2048))
	return status == http.StatusOK
}
