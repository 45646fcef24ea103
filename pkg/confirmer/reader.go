package confirmer

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
)

// UnconfirmedEndError says that an answer without a length or chunks ended with its connection, and that the endpoint may have
// ended then, too: the answer may be a part.
//
// It does not wrap its cause, which may be io.EOF.
type UnconfirmedEndError struct {
	Endpoint string
	Detail   string
}

func (e *UnconfirmedEndError) Error() string {
	return "answer of endpoint " + e.Endpoint + " ended with its connection: " + e.Detail
}

// bodyReader reads the body of an answer that ends with its connection.
type bodyReader struct {
	c        *Confirmer
	ctx      context.Context
	x        *dialer.Exchange
	endpoint registrar.Endpoint
}

// BodyOf returns a reader of the answer's body, which returns io.EOF only if the answer is whole: if its end is not marked, the
// endpoint is asked whether it lives on, and the error is an *UnconfirmedEndError if it gives no sign of that.
func (c *Confirmer) BodyOf(ctx context.Context, x *dialer.Exchange, e registrar.Endpoint) io.Reader {
	if !x.EndsAtClose() || x.Response.Body == http.NoBody {
		return x
	}
	return &bodyReader{c: c, ctx: ctx, x: x, endpoint: e}
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.x.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if confirmErr := r.c.Confirm(r.ctx, r.endpoint); confirmErr != nil {
		return n, &UnconfirmedEndError{Endpoint: r.endpoint.ID, Detail: confirmErr.Error()}
	}
	return n, io.EOF
}
