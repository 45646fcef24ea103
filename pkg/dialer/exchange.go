package dialer

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// inlineBody is the largest body that is written before the answer is read: it fits a socket's buffer.
	inlineBody = 8 << 10
	// mostStrays bounds the answers to earlier requests that are skipped.
	mostStrays = 2
	maxStray   = 1 << 20
)

// Request is what is sent to an endpoint.
type Request struct {
	Method string
	// Target is the path and query, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the header that the endpoint echoes; ID is its value.
	IDHeader string
	ID       string
}

// Exchange is one request on one connection and its answer.
type Exchange struct {
	Response *http.Response
	pool     *Pool
	conn     *Conn
	stop     func() bool
	written  chan error
	isWhole  bool
}

// Do sends the request on the connection and reads the head of its answer; the error is an *ExchangeError.
//
// When ctx ends, the connection is closed, which tells the endpoint to stop.
func (p *Pool) Do(ctx context.Context, c *Conn, r Request) (*Exchange, error) {
	start := time.Now()
	x := &Exchange{pool: p, conn: c, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(step string, err error) (*Exchange, error) {
		x.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &ExchangeError{Address: c.address, Step: step, After: time.Since(start), IsReused: c.isReused, Cause: err}
	}
	if len(r.Body) <= inlineBody {
		if err := writeRequest(c, r); err != nil {
			return fail("write request", err)
		}
		x.written <- nil
	} else {
		go x.runWrite(r)
	}
	res, err := c.readResponse(r) //nolint:bodyclose // Close ends the exchange with its connection.
	if err != nil {
		return fail("read answer", err)
	}
	x.Response = res
	c.readKeepAlive(res)
	return x, nil
}

func (x *Exchange) runWrite(r Request) {
	x.written <- writeRequest(x.conn, r)
}

func writeRequest(w io.Writer, r Request) error {
	bw := bufio.NewWriterSize(w, inlineBody)
	_, _ = bw.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(bw); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet {
		_, _ = bw.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = bw.WriteString("\r\n")
	_, _ = bw.Write(r.Body)
	return bw.Flush()
}

// readResponse reads the head of the answer and skips answers to earlier requests.
func (c *Conn) readResponse(r Request) (*http.Response, error) {
	method := &http.Request{Method: r.Method}
	for strays := 0; ; {
		res, err := http.ReadResponse(c.br, method)
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		id := res.Header.Get(r.IDHeader)
		if r.IDHeader == "" || id == r.ID || id == "" {
			return res, nil
		}
		strays++
		if strays > mostStrays {
			return nil, errors.Errorf("answers to other requests: the last names %q", id)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxStray)); err != nil {
			return nil, errors.Wrap(err, "skip an answer to another request")
		}
	}
}

// Read reads the answer's body; io.EOF says that it is whole.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.Response.Body.Read(p)
	if err == io.EOF {
		x.isWhole = true
	}
	return n, err
}

// Close ends the exchange; the connection is kept only after a whole answer to a request that was written whole.
func (x *Exchange) Close() {
	if !x.stop() || !x.isWhole {
		_ = x.conn.Close()
		return
	}
	select {
	case err := <-x.written:
		if err != nil {
			_ = x.conn.Close()
			return
		}
	default:
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.conn)
}
