package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	dialTimeout = 5 * time.Second
	// writeTimeout ends the sending of a client whose data the VM does not take.
	writeTimeout = 10 * time.Second
	// receiveBuffer is that of clients that never read.
	receiveBuffer = 4096
)

// piece is data that a client sends times times.
type piece struct {
	data  []byte
	times int
	// pause is the time before each.
	pause time.Duration
}

// form is one kind of client: what it sends, to which address.
type form struct {
	address string
	pieces  []piece
	// neverReads says that the client reads no answers.
	neverReads bool
}

// client is one connection of a crowd.
type client struct {
	conn net.Conn
	// isClosed is set when the VM has closed the connection.
	isClosed atomic.Bool
	mu       sync.Mutex
	// head is the beginning of what the VM answered.
	head []byte
}

// crowd is a number of clients whose connections stay open until leave.
type crowd struct {
	mu      sync.Mutex
	clients []*client
	wg      sync.WaitGroup
	// unreached counts the clients that could not connect.
	unreached int
}

// send starts n clients of the form and returns when each has sent all, or can send no more.
func (c *crowd) send(n int, f form) {
	wg := sync.WaitGroup{}
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.sendOne(f)
		}()
	}
	wg.Wait()
}

func (c *crowd) sendOne(f form) {
	d := net.Dialer{Timeout: dialTimeout}
	if f.neverReads {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
		}
	}
	conn, err := d.DialContext(context.Background(), "tcp4", f.address)
	if err != nil {
		c.mu.Lock()
		c.unreached++
		c.mu.Unlock()
		return
	}
	k := &client{conn: conn}
	c.mu.Lock()
	c.clients = append(c.clients, k)
	c.mu.Unlock()
	if !f.neverReads {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			k.read()
		}()
	}
	k.write(f.pieces)
}

// write sends the pieces until one can't be sent.
func (k *client) write(pieces []piece) {
	for _, p := range pieces {
		for range p.times {
			if p.pause > 0 {
				time.Sleep(p.pause)
			}
			_ = k.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := k.conn.Write(p.data); err != nil {
				return
			}
		}
	}
}

// read keeps the beginning of the answer, and notes the end of the connection.
func (k *client) read() {
	buffer := make([]byte, 4096)
	for {
		n, err := k.conn.Read(buffer)
		k.mu.Lock()
		if len(k.head) < len(buffer) {
			k.head = append(k.head, buffer[:n]...)
		}
		k.mu.Unlock()
		if err != nil {
			k.isClosed.Store(true)
			return
		}
	}
}

// status returns the status of the first answer, "none" without one.
func (k *client) status() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	fields := strings.Fields(string(k.head))
	if len(fields) < 2 || !strings.HasPrefix(fields[0], "HTTP/") {
		return "none"
	}
	return fields[1]
}

// report returns the number of clients, of those that the VM has closed, and the first answers by status.
func (c *crowd) report() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed, statuses := 0, map[string]int{}
	for _, k := range c.clients {
		if k.isClosed.Load() {
			closed++
		}
		statuses[k.status()]++
	}
	return fmt.Sprintf("%d connected, %d not, %d closed, first answers %v", len(c.clients), c.unreached, closed, statuses)
}

// leave closes all connections.
func (c *crowd) leave() {
	c.mu.Lock()
	for _, k := range c.clients {
		_ = k.conn.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

// headOf returns the head of a request with further header lines.
func headOf(method, path string, lines ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: c\r\n%s\r\n", method, path, host,
		strings.Join(append(lines, ""), "\r\n"))
}

// chunkOf returns a chunk of a chunked body with n bytes of data.
func chunkOf(n int) []byte {
	b := bytes.Buffer{}
	_, _ = fmt.Fprintf(&b, "%x\r\n", n)
	_, _ = io.CopyN(&b, zeros{}, int64(n))
	b.WriteString("\r\n")
	return b.Bytes()
}

// zeros is an endless text.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '0'
	}
	return len(p), nil
}
