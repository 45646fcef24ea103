package confirmer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/inspector"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	// timeout bounds a question; it is shorter than the pause after which callers give a stream up.
	timeout = time.Second
	// firstPause is the time until the question is repeated the first time; it doubles with each further time.
	firstPause = 50 * time.Millisecond
	// openTime is how long a connection must stay open to be a sign of life in place of an answer: the kernel closes those of a
	// process that ends.
	openTime = 200 * time.Millisecond
	// maxBodyBytes is the number of bytes that are read of an answer.
	maxBodyBytes = 64 << 10
)

// Protocol says how an endpoint is asked about itself.
type Protocol struct {
	// ReportPath is the path of an engine's load report, which needs no slot.
	ReportPath string
	// InstanceID is the header in which an answer may name its endpoint.
	InstanceID string
	// StartedAtMs returns the endpoint's start in Unix milliseconds, if the answer's body states it.
	StartedAtMs func(body []byte) option.Option[int64]
}

// Confirmer asks endpoints about themselves.
type Confirmer struct {
	protocol Protocol
	registry func() *registrar.Registry
	pool     *dialer.Pool
}

// New returns a confirmer.
func New(p Protocol, registry func() *registrar.Registry, pool *dialer.Pool) *Confirmer {
	return &Confirmer{protocol: p, registry: registry, pool: pool}
}

// InstanceError says that another endpoint answers at the address of the endpoint Want.
type InstanceError struct {
	Want, Got string
}

func (e *InstanceError) Error() string {
	return "endpoint " + e.Want + " has ended: " + e.Got + " answers at its address"
}

// Confirm returns nil once the endpoint has answered a question that was sent after the call began, or has kept its connection
// open for openTime: a question may wait for a slot.
//
// A connection that breaks is no sign that the endpoint has ended: endpoints reset those beyond their limit. A refused one is.
func (c *Confirmer) Confirm(ctx context.Context, e registrar.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.ask(ctx, e)
	for pause := firstPause; err != nil && !hasEnded(err) && sleeper.Sleep(ctx, pause); pause *= 2 {
		if again := c.ask(ctx, e); again == nil || ctx.Err() == nil {
			err = again
		}
	}
	return errors.Wrapf(err, "endpoint %s gave no sign of life after the end of its answer", e.ID)
}

// hasEnded reports whether the error of a question says that the endpoint has ended.
func hasEnded(err error) bool {
	other := (*InstanceError)(nil)
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &other)
}

func (c *Confirmer) ask(ctx context.Context, e registrar.Endpoint) error {
	path := c.pathFor(e)
	// A process that ends may close its port first, and answer on open connections until they are closed.
	conn, err := c.pool.Open(ctx, e.ID, e.Address)
	if err != nil {
		return err
	}
	if path == "" || inspector.CheckTarget(path) != nil {
		return awaitOpen(conn)
	}
	answerCtx, cancel := context.WithTimeout(ctx, openTime)
	defer cancel()
	x, err := c.pool.Do(answerCtx, conn, dialer.Request{
		Method: http.MethodGet, Target: path, Host: e.Address.String(), Header: http.Header{},
	})
	if err != nil && answerCtx.Err() != nil && ctx.Err() == nil {
		return nil
	}
	if err != nil {
		return err
	}
	defer x.Close()
	body, err := io.ReadAll(io.LimitReader(x, maxBodyBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if id := x.Response.Header.Get(c.protocol.InstanceID); id != "" && id != e.ID {
		return &InstanceError{Want: e.ID, Got: id}
	}
	startedAt, ok := c.protocol.StartedAtMs(body).Get()
	if ok && e.StartedAtMs != 0 && startedAt != e.StartedAtMs {
		return &InstanceError{Want: e.ID, Got: "its next incarnation"}
	}
	return nil
}

// AwaitOpen opens a connection to the address and returns nil once it was open for some tenths of a second: the sign of life of
// an endpoint that can't be asked about itself.
func AwaitOpen(ctx context.Context, addr netip.AddrPort) error {
	d := net.Dialer{Timeout: dialer.ConnectTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return errors.Wrap(err, "the answer ended with its connection, and its endpoint takes no other")
	}
	return awaitOpen(conn)
}

// awaitOpen returns nil once the connection was open for openTime.
func awaitOpen(conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(openTime)); err != nil {
		return err
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Errorf("connection not open for %s: %v", openTime, err)
	}
	return nil
}

// pathFor returns the path of the question, if the endpoint has one: for an engine one that needs no slot.
func (c *Confirmer) pathFor(e registrar.Endpoint) string {
	service := c.registry().Config.Services[e.Service]
	if service.IsEngine {
		return c.protocol.ReportPath
	}
	return service.HealthPath
}
