package forwarder

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
)

// Chat sends one chat request to an engine and relays the answer piece by piece.
//
// Errors: *RequestFailedError, or *RejectedError if the engine rejected the request itself.
func (d *Dispatcher) Chat(ctx context.Context, pools *Pools, call Call, body []byte, sink Sink) (*Answer, error) {
	sent := ""
	var answer *Answer
	err := d.Do(ctx, call, func(ctx context.Context, t Target) (outcome.Outcome, allocator.Report, error) {
		ctx, span := otel.Tracer("forwarder").Start(ctx, "endpoint chat")
		defer span.End()
		span.SetAttributes(attribute.String("endpoint", t.Endpoint.Name), attribute.String("attempt", t.Attempt))
		s := NewStream(pools, pools.Online, t.Attempt, t.Endpoint.Address, body)
		c := &continuation{sent: sent, sink: sink}
		o, err := s.Run(ctx, c.forward)
		sent = longer(sent, s.Answer.Text())
		if s.IsEndpointLeaving {
			d.onLeaving(t.Endpoint.Name)
		}
		rejected := (*RejectedError)(nil)
		if err != nil && !errors.As(err, &rejected) {
			span.SetStatus(codes.Error, err.Error())
			go s.Stop(false)
		}
		answer = &s.Answer
		return o, s.Report(err != nil), err
	})
	return answer, err
}

// longer returns the longer text, which is what the caller has received: an attempt that failed early may have repeated
// less text than an earlier attempt had sent.
func longer(a, b string) string {
	if len(b) > len(a) {
		return b
	}
	return a
}
