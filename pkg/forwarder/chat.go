package forwarder

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
)

// Chat takes one chat request to an engine and relays the answer piece by piece.
//
// Errors: *GivenUpError, or *RejectedError when the engine turned the request itself down.
func (d *Dispatcher) Chat(ctx context.Context, pools *Pools, call Call, body []byte, sink Sink) (*Answer, error) {
	sent := ""
	var whole *Answer
	err := d.Do(ctx, call, func(ctx context.Context, t Target) (outcome.Outcome, keeper.Report, error) {
		ctx, span := otel.Tracer("forwarder").Start(ctx, "endpoint chat")
		defer span.End()
		span.SetAttributes(attribute.String("endpoint", t.Endpoint.Name), attribute.String("attempt", t.Attempt))
		s := NewStream(pools, pools.Online, t.Attempt, t.Endpoint.Address, body)
		c := &continuation{sent: sent, sink: sink}
		o, err := s.Run(ctx, c.take)
		sent = longer(sent, s.Answer.Text())
		if s.IsLeaver {
			d.onLeaving(t.Endpoint.Name)
		}
		rejected := (*RejectedError)(nil)
		if err != nil && !errors.As(err, &rejected) {
			span.SetStatus(codes.Error, err.Error())
			go s.Stop(false)
		}
		whole = &s.Answer
		return o, s.Report(err != nil), err
	})
	return whole, err
}

// longer returns the text that the caller has: an attempt that ended early showed it less than the one before.
func longer(a, b string) string {
	if len(b) > len(a) {
		return b
	}
	return a
}
