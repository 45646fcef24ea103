package dialer

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/inspector"
)

const (
	// maxInlineBytes is the largest body that is written before the answer is read: it fits into a socket's buffer.
	maxInlineBytes = 8 << 10
	// maxStrays is the maximum number of stray answers, those to earlier requests, that are skipped.
	maxStrays = 2
	// maxStrayBytes is the size limit of a skipped answer.
	maxStrayBytes = 1 << 20
	// minStatus and maxStatus bound the statuses that an answer may have.
	minStatus = 100
	maxStatus = 599
)

// Request holds what is sent to an endpoint.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader is the name of the header that the endpoint returns unchanged, or empty; ID is its value.
	IDHeader string
	ID       string
}

// Exchange is one request on one connection and its answer.
type Exchange struct {
	Response *http.Response
	pool     *Pool
	conn     *Conn
	// stop keeps the end of the context from closing the connection; it returns false if that has begun already.
	stop func() bool
	// written is closed once the request is written, or can't be: writeErr tells which.
	written    chan struct{}
	writeErr   error
	isComplete bool
	isClosed   bool
}

// Do sends the request on the connection and reads the head of its answer; the error is an *ExchangeError. It is an
// *inspector.FieldError if the request can never be sent: nothing was written then, and the connection is kept.
//
// When ctx ends, the connection is closed, which signals the endpoint to stop.
func (p *Pool) Do(ctx context.Context, c *Conn, r Request) (*Exchange, error) {
	if err := r.check(); err != nil {
		p.put(c)
		return nil, err
	}
	start := time.Now()
	x := &Exchange{pool: p, conn: c, written: make(chan struct{})}
	p.observer.Exchanges(1)
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(step string, err error) (*Exchange, error) {
		x.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &ExchangeError{Address: c.address, Step: step, After: time.Since(start), IsReused: c.carried.isUsed, Cause: err}
	}
	if len(r.Body) <= maxInlineBytes {
		if err := writeRequest(c, r); err != nil {
			return fail("write request", err)
		}
		close(x.written)
	} else {
		go x.runWrite(r)
	}
	res, err := c.readResponse(r) //nolint:bodyclose // Close ends the exchange with its connection.
	if err != nil {
		return fail("read answer", err)
	}
	x.Response = res
	c.carried.add(r.ID)
	c.setIdleTimeout(res)
	if namesNone(r, res) {
		// The next answer couldn't be told from a copy of this one.
		c.idleTimeout = 0
	}
	return x, nil
}

func (x *Exchange) runWrite(r Request) {
	x.writeErr = writeRequest(x.conn, r)
	close(x.written)
}

// check returns an *inspector.FieldError if the endpoint could read the written request as another one, or as several.
func (r Request) check() error {
	return inspector.Head{Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, ID: r.ID}.Check()
}

// writeRequest writes a request that check has passed.
func writeRequest(w io.Writer, r Request) error {
	bw := bufio.NewWriterSize(w, maxInlineBytes)
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

// readResponse reads the head of the answer. It skips informational answers and stray ones.
func (c *Conn) readResponse(r Request) (*http.Response, error) {
	method := &http.Request{Method: r.Method}
	defer c.limit.end()
	c.limit.begin(c.br.Buffered())
	informational := 0
	for strays := 0; ; {
		res, err := http.ReadResponse(c.br, method)
		if c.limit.exceeded != nil {
			return nil, c.limit.exceeded
		}
		if err != nil {
			return nil, shorten(err)
		}
		if err := CheckStatus(res.StatusCode); err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational {
				return nil, errors.Errorf("more than %d informational answers, the last one with status %d", maxInformational, res.StatusCode)
			}
			continue
		}
		if !namesAnother(r, res) {
			return res, c.carried.checkName(r, res)
		}
		strays++
		if strays > maxStrays {
			id := res.Header.Get(r.IDHeader)
			return nil, errors.Errorf(
				"connection carries answers to other requests, the last one to %q", id[:min(len(id), maxErrorText)])
		}
		c.limit.end()
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxStrayBytes))
		if err != nil {
			return nil, errors.Wrap(err, "discard an answer to another request")
		}
		if n >= maxStrayBytes {
			return nil, errors.Errorf("answer to another request has %d bytes or more", n)
		}
		c.limit.begin(c.br.Buffered())
	}
}

// Read reads the answer's body; io.EOF says that it is complete.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.Response.Body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if x.EndsAtClose() {
		if err := x.checkUpload(); err != nil {
			return n, err
		}
	}
	x.isComplete = true
	return n, io.EOF
}

// checkUpload returns an error if the request, whose answer ended with its connection, was not written whole.
//
// The kernel reports a reset once: if the write of the request gets the error, the read sees an end of the connection.
func (x *Exchange) checkUpload() error {
	<-x.written
	if x.writeErr != nil {
		return &UploadBrokenError{Cause: x.writeErr}
	}
	return nil
}

// EndsAtClose reports whether the answer has neither a length nor chunks, so that the end of its connection is its end.
func (x *Exchange) EndsAtClose() bool {
	return x.Response.ContentLength < 0 && len(x.Response.TransferEncoding) == 0
}

// drainTimeout bounds the wait for the rest of an answer that is not needed.
const drainTimeout = 50 * time.Millisecond

// Drain discards the rest of a short answer, so that the connection can be reused. It gives up if the rest has more than
// maxInlineBytes or does not arrive within drainTimeout; the connection is closed then.
func (x *Exchange) Drain() {
	_ = x.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(x, maxInlineBytes))
}

// Close ends the exchange. The connection is kept for reuse only if the request was written and the answer read completely.
func (x *Exchange) Close() {
	if x.isClosed {
		return
	}
	x.isClosed = true
	x.pool.observer.Exchanges(-1)
	if !x.stop() || !x.isComplete {
		_ = x.conn.Close()
		return
	}
	select {
	case <-x.written:
		if x.writeErr != nil {
			_ = x.conn.Close()
			return
		}
	default:
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.conn)
}
