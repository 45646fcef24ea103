package forwarder

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
)

type engineOrder struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Fence int64  `json:"fence"`
}

// Order sends an engine an order with its fencing token, and never retries.
func (p *Pools) Order(ctx context.Context, e declarer.Endpoint, kind, name string, fence int64) (outcome.Outcome, error) {
	body, err := json.Marshal(engineOrder{Kind: kind, Name: name, Fence: fence})
	if err != nil {
		return outcome.NotRun{}, errors.Wrap(err, "encode order")
	}
	x := &exchange{client: p.SingleUse}
	header := http.Header{"Content-Type": {"application/json"}}
	res, err := x.send(ctx, http.MethodPost, endpointURL(e.Address, "/v1/orders", nil), header, body)
	if err != nil {
		return x.failureOutcome(err), errors.Wrap(err, "reach engine")
	}
	defer func() { _ = res.Body.Close() }()
	switch {
	case res.StatusCode == http.StatusOK:
		return outcome.Completed{}, nil
	case res.StatusCode < http.StatusInternalServerError:
		text := readError(res)
		return outcome.NotRun{Reason: text}, errors.Errorf("engine refused the order: %s", text)
	default:
		text := readError(res)
		return outcome.Unknown{Reason: text}, errors.Errorf("engine answered status %d: %s", res.StatusCode, text)
	}
}
