package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"github.com/dogwoodledge/dogwoodledge/pkg/confirmer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
)

// MaxServiceAnswerBytes bounds a plain service's answer, and the text of an engine's.
const MaxServiceAnswerBytes = 8 << 20

// ServiceRequest is a call of a plain service.
type ServiceRequest struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
}

// ServiceReply is the service's complete answer.
type ServiceReply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service sends one call to a plain service.
//
// Errors: *RequestFailedError.
func (d *Dispatcher) Service(ctx context.Context, pools *Pools, call Call, r ServiceRequest) (ServiceReply, error) {
	client := pools.Online
	if !call.IsRepeatable {
		client = pools.SingleUse
	}
	call.request = quarantiner.RequestPart(r.Method, call.Serves, r.Path+"?"+r.Query.Encode(), r.Body)
	reply := ServiceReply{}
	err := d.Do(ctx, call, func(ctx context.Context, t Target) (outcome.Outcome, allocator.Report, error) {
		ctx, span := otel.Tracer("forwarder").Start(ctx, "endpoint service")
		defer span.End()
		span.SetAttributes(attribute.String("endpoint", t.Endpoint.Name), attribute.String("attempt", t.Attempt))
		startedAt := time.Now()
		o, err := d.callService(ctx, client, t, r, &reply)
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		return o, allocator.Report{Took: time.Since(startedAt), IsFailed: err != nil}, err
	})
	return reply, err
}

func (d *Dispatcher) callService(
	ctx context.Context, client *http.Client, t Target, r ServiceRequest, reply *ServiceReply,
) (outcome.Outcome, error) {
	x := &exchange{client: client}
	res, err := x.send(ctx, r.Method, endpointURL(t.Endpoint.Address, r.Path, r.Query), r.Header, r.Body)
	if err != nil {
		return x.failureOutcome(err), errors.Wrap(err, "reach service")
	}
	defer func() { _ = res.Body.Close() }()
	if x.isLeaving {
		d.onLeaving(t.Endpoint.Name)
	}
	if o, ok := refusal(res); ok {
		return o, errors.Errorf("service refused: %s", readError(res))
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxServiceAnswerBytes+1))
	if err == nil && len(body) > MaxServiceAnswerBytes {
		err = errors.Errorf("answer is longer than %d bytes", MaxServiceAnswerBytes)
	}
	if err == nil && res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		if err = x.awaitWritten(ctx); err == nil {
			err = confirmer.AwaitOpen(ctx, t.Endpoint.Address)
		}
	}
	if err != nil {
		return outcome.Unknown{Reason: err.Error()}, errors.Wrap(err, "read service's answer")
	}
	*reply = ServiceReply{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}
	return outcome.Completed{}, nil
}
