package acceptor

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/budgeter"
)

const (
	// headSlack is how much more than the limit of a head is read: the server's buffer takes the beginning of the body with it. A
	// head within the slack is refused by the handler, in the same way.
	headSlack = 8 << 10
	// freeHeadBytes is the part of a head that needs no reservation: the server's buffer for reading. A reservation has headFactor
	// times the limit, since the server keeps the lines, the names and values, and a map of them.
	freeHeadBytes = 4 << 10
	headFactor    = 4
	// lingerTime and lingerBytes bound what is still read from a client whose head was refused. A connection that is closed with
	// unread data is reset, and the client would lose the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// writeCheck is the time between two checks whether an answer makes progress.
	writeCheck = time.Second
	// refusalRetryAfter is the Retry-After, in seconds, of a connection for which there is no room.
	refusalRetryAfter = "0.500"
)

// Conn is a connection of a Port.
type Conn struct {
	*net.TCPConn

	port    *Port
	entry   *budgeter.Connection
	address netip.Addr
	// isInHead says that the next bytes belong to the head of a request. isEvicted says that the connection must be closed unless a
	// request has arrived.
	isInHead, isEvicted atomic.Bool
	// headBytes and headSince are the size of the head so far and when it began; the server reads heads in one goroutine.
	headBytes int
	headSince time.Time
	// lease is for a large head.
	lease   atomic.Pointer[bodyreader.Lease]
	closing sync.Once

	// writeMu guards checkedAt, which is when the deadline for writing was last moved.
	writeMu   sync.Mutex
	checkedAt time.Time
}

// Read reads from the connection, and refuses a head that exceeds the port's limits.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.isInHead.Load() {
		return c.TCPConn.Read(p)
	}
	if c.isEvicted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	limits := c.port.cfg.Heads()
	if c.headBytes > 0 {
		if status := c.checkHead(limits); status != 0 {
			return 0, c.refuseHead(status, p)
		}
		_ = c.SetReadDeadline(c.headSince.Add(limits.Timeout))
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.headBytes == 0 {
		c.headSince = time.Now()
	}
	c.headBytes += n
	if n == 0 && c.headBytes > 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.isEvicted.Load() {
		c.port.counters.HeadsTooSlow.Add(1)
		c.port.logClosed("the head of a request took too long", c)
		return 0, c.refuseHead(http.StatusRequestTimeout, p)
	}
	return n, err
}

// checkHead returns the status with which a head is refused of which more than headBytes must be read; 0 if it is not refused.
func (c *Conn) checkHead(limits HeadLimits) int {
	if c.headBytes >= limits.Bytes+headSlack {
		c.port.counters.HeadsTooLarge.Add(1)
		c.port.logClosed("the head of a request is too large", c)
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if c.headBytes < freeHeadBytes || c.lease.Load() != nil {
		return 0
	}
	lease, err := c.port.cfg.Bodies.Reserve(headFactor * int64(limits.Bytes))
	if err != nil {
		c.port.counters.NoRoom.Add(1)
		c.port.logClosed("no room for a large head", c)
		return http.StatusServiceUnavailable
	}
	c.lease.Store(lease)
	return 0
}

// refuseHead answers a request whose head is incomplete, and reads on for a moment, so that the answer is not lost. Nobody else
// writes to the connection meanwhile: the answers to earlier requests are complete.
func (c *Conn) refuseHead(status int, p []byte) error {
	c.writeRefusal(status)
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	for read := 0; read < lingerBytes; {
		n, err := c.TCPConn.Read(p)
		if err != nil {
			break
		}
		read += n
	}
	return io.EOF
}

// writeRefusal writes an answer without the server, if the caller takes it at once.
func (c *Conn) writeRefusal(status int) {
	headers := ""
	if status == http.StatusServiceUnavailable {
		headers = "Retry-After: " + refusalRetryAfter + "\r\n"
	}
	if name := c.port.cfg.RefusalHeader; name != "" {
		headers += name + ": 1\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), headers)
}

// evict makes the server close the connection unless it has read the head of a request.
//
// A read deadline in the past ends the server's wait for a request, but no request that it has read already.
func (c *Conn) evict() {
	c.isEvicted.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// beginRequest records that the server has read the head of a request.
func (c *Conn) beginRequest() {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	c.isInHead.Store(false)
	c.port.core.Begin(c.entry)
	if c.isEvicted.CompareAndSwap(true, false) {
		// The server had read the head, so it serves the request and then keeps the connection.
		_ = c.SetReadDeadline(time.Time{})
	}
}

// endRequest records that a request has been answered.
func (c *Conn) endRequest() {
	c.lease.Swap(nil).Close()
	c.headBytes = 0
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	c.isInHead.Store(true)
	if !c.port.core.End(time.Now(), c.entry) {
		// It was closed for the sake of another connection when its last request had just come.
		c.evict()
	}
}

// Write writes to the connection, and fails if the caller takes nothing of it for too long.
func (c *Conn) Write(p []byte) (int, error) {
	if c.port.cfg.Bodies == nil {
		return c.TCPConn.Write(p)
	}
	begun := time.Now()
	c.moveDeadline(begun, writeCheck/2)
	written, progressAt, unsent := 0, begun, -1
	for {
		n, err := c.TCPConn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now, left := time.Now(), c.unsent()
		if n > 0 || unsent < 0 || left < unsent {
			if unsent >= 0 || n > 0 {
				progressAt = now
			}
			unsent = left
		}
		if now.Sub(progressAt) >= c.port.cfg.Bodies.AnswerTimeout(now) {
			c.port.counters.AnswersStalled.Add(1)
			c.port.logClosed("the caller does not take its answer", c)
			return written, err
		}
		c.moveDeadline(now, 0)
	}
}

// ReadFrom copies from r by Write, whose limits that of the embedded connection would pass by.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// moveDeadline lets writes block until writeCheck from now, unless that was set less than age ago. A write sets it only now and
// then, since streams write each event.
func (c *Conn) moveDeadline(now time.Time, age time.Duration) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if now.Sub(c.checkedAt) < age {
		return
	}
	c.checkedAt = now
	_ = c.SetWriteDeadline(now.Add(writeCheck))
}

// unsent returns the number of bytes that the kernel holds and the caller has not acknowledged.
func (c *Conn) unsent() int {
	n := 0
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if v, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = v
		}
	})
	return n
}

// Close closes the connection and makes room for another one.
func (c *Conn) Close() error {
	c.closing.Do(func() {
		p := c.port
		p.counters.Open.Add(-1)
		p.mu.Lock()
		p.core.Close(c.entry)
		if p.byAddress[c.address]--; p.byAddress[c.address] <= 0 {
			delete(p.byAddress, c.address)
		}
		p.mu.Unlock()
		c.lease.Swap(nil).Close()
	})
	return c.TCPConn.Close()
}
