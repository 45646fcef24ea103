package confirmer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const (
	// timeout bounds a question; it is shorter than the pause after which callers give a stream up.
	timeout = time.Second
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

// Confirm returns nil once the endpoint has answered a question that was sent after the call began.
func (c *Confirmer) Confirm(ctx context.Context, e registrar.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return errors.Wrapf(c.ask(ctx, e), "endpoint %s gave no sign of life after the end of its answer", e.ID)
}

func (c *Confirmer) ask(ctx context.Context, e registrar.Endpoint) error {
	path := c.pathFor(e)
	if path == "" {
		return c.pool.Reach(ctx, e.ID, e.Address)
	}
	// A process that ends may close its port first, and answer on open connections until they are closed.
	conn, err := c.pool.Open(ctx, e.ID, e.Address)
	if err != nil {
		return err
	}
	x, err := c.pool.Do(ctx, conn, dialer.Request{
		Method: http.MethodGet, Target: path, Host: e.Address.String(), Header: http.Header{},
	})
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

// pathFor returns the path of the question, if the endpoint has one: for an engine one that needs no slot.
func (c *Confirmer) pathFor(e registrar.Endpoint) string {
	service := c.registry().Config.Services[e.Service]
	if service.IsEngine {
		return c.protocol.ReportPath
	}
	return service.HealthPath
}
