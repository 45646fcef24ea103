package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
)

const (
	notRunHeader      = "X-Not-Run"
	leavingHeader     = "X-Leaving"
	streamHeader      = "X-Stream-Id"
	stopTimeout       = 2 * time.Second
	maxErrorBytes     = 16 << 10
	defaultRetryAfter = time.Second
)

// exchange is one HTTP exchange with an endpoint. mayBeSent is set once there is a connection for it: from then on the
// endpoint may have received the request.
type exchange struct {
	client    *http.Client
	mayBeSent atomic.Bool
	isLeaving bool
	// written receives the result of writing the request.
	written chan error
}

// send sends the request. Once mayBeSent is set, the outcome is NotRun only if the endpoint's response says so.
func (x *exchange) send(ctx context.Context, method, target string, header http.Header, body []byte) (*http.Response, error) {
	x.written = make(chan error, 1)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.mayBeSent.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case x.written <- info.Err:
			default:
			}
		},
	}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// Without GetBody, net/http can't send the body a second time by itself.
	r.GetBody = nil
	for name, values := range header {
		r.Header[name] = values
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(r.Header))
	res, err := x.client.Do(r)
	if err != nil {
		return nil, err
	}
	if err := dialer.CheckStatus(res.StatusCode); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	x.isLeaving = res.Header.Get(leavingHeader) != ""
	return res, nil
}

// awaitWritten returns an error unless the request was written whole.
//
// The kernel reports a reset once: if the write of the request gets the error, the read of the answer sees an end.
func (x *exchange) awaitWritten(ctx context.Context) error {
	select {
	case err := <-x.written:
		return errors.Wrap(err, "write request")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// failureOutcome returns the outcome of an exchange that got no response.
func (x *exchange) failureOutcome(err error) outcome.Outcome {
	if x.mayBeSent.Load() {
		return outcome.Unknown{Reason: err.Error()}
	}
	return outcome.NotRun{Reason: err.Error(), RetryAfter: defaultRetryAfter}
}

// refusal returns NotRun if the response states that the endpoint did not run the request.
func refusal(res *http.Response) (outcome.NotRun, bool) {
	isBusy := res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests
	if !isBusy || res.Header.Get(notRunHeader) == "" {
		return outcome.NotRun{}, false
	}
	after := defaultRetryAfter
	if n, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && n >= 0 {
		after = time.Duration(n) * time.Second
	}
	return outcome.NotRun{Reason: "endpoint refused the request", RetryAfter: after}, true
}

func endpointURL(addr netip.AddrPort, path string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: addr.String(), Path: path, RawQuery: query.Encode()}
	return u.String()
}

// StopStream cancels a stream at its engine; if isKept is set, the engine suspends it and keeps its tokens.
func (p *Pools) StopStream(addr netip.AddrPort, stream string, isKept bool) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	target := endpointURL(addr, "/v1/streams/"+url.PathEscape(stream), url.Values{"keep": {strconv.FormatBool(isKept)}})
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return
	}
	if res, err := p.Online.Do(r); err == nil {
		_ = res.Body.Close()
	}
}

func readError(res *http.Response) string {
	raw, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	return string(bytes.TrimSpace(raw))
}
