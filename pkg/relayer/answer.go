package relayer

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/inspector"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// maxBufferedBytes is the size up to which an answer is read completely before any of it is forwarded: if it breaks off, the
// request can still be retried.
const maxBufferedBytes = 64 << 10

// forwardBody forwards an answer that is not a stream of events.
func (q *request) forwardBody(x *dialer.Exchange, ticket *placer.Ticket, s placer.Send) (bool, placer.Ending) {
	body, head := q.confirmer.BodyOf(q.attemptCtx, x, s.Endpoint), bytes.Buffer{}
	lease := (*bodyreader.Lease)(nil)
	err := q.buffer(&head, body, &lease)
	defer lease.Close()
	q.recordFirstByte(ticket, s)
	switch {
	case err == nil:
		return q.forwardLargeBody(x, io.MultiReader(&head, body), s)
	case !errors.Is(err, io.EOF):
		q.recordBreak(s.Endpoint, head.Len() > 0)
		q.cause = errors.Wrap(err, "read answer of endpoint "+s.Endpoint.ID)
		return q.endUnlessRetryable(q.cause), placer.EndedFailed
	}
	q.writeHead(x.Response, int64(head.Len()))
	_, _ = q.w.Write(head.Bytes())
	q.decision = "served"
	return true, placer.EndedComplete
}

// forwardLargeBody forwards an answer whose body is too large to be buffered.
func (q *request) forwardLargeBody(x *dialer.Exchange, body io.Reader, s placer.Send) (bool, placer.Ending) {
	if !q.beginAnswer() {
		q.endUnanswered(ErrStopping)
		return true, placer.EndedLocally
	}
	q.writeHead(x.Response, x.Response.ContentLength)
	_, err := io.Copy(q.w, body)
	if err == nil {
		q.decision = "served"
		return true, placer.EndedComplete
	}
	q.cause = err
	if q.r.Context().Err() == nil {
		q.recordBreak(s.Endpoint, true)
	}
	q.decision, q.mustAbort = "cut", true
	return true, placer.EndedFailed
}

func (q *request) writeHead(res *http.Response, length int64) {
	h := q.w.Header()
	for name, values := range inspector.Forwarded(res.Header) {
		h[name] = values
	}
	// A nil entry keeps net/http from adding a header that the endpoint did not send.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	if length >= 0 && hasBody(q.r.Method, res.StatusCode) {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.hasAnswer, q.status, q.mediaType = true, res.StatusCode, MediaTypeOf(res.Header)
	q.w.WriteHeader(res.StatusCode)
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// recordFirstByte is called when a stream's first event, or a body up to maxBufferedBytes, has been read. It stops the attempt
// timeout and records the time since the request's start, once per request.
func (q *request) recordFirstByte(ticket *placer.Ticket, s placer.Send) {
	if !q.atPeer {
		q.balancer.FirstByte(ticket, s.IsQueued())
	}
	q.stopAttemptTimer()
	if q.firstByte == 0 {
		q.firstByte = time.Since(q.start)
		q.metrics.FirstByte(q.route.Name, q.firstByte)
	}
}

// forwardStream forwards complete events as they arrive, as long as each follows the one before it.
func (q *request) forwardStream(x *dialer.Exchange, ticket *placer.Ticket, s placer.Send) (bool, placer.Ending) {
	events := NewEventReader(q.confirmer.BodyOf(q.attemptCtx, x, s.Endpoint), q.bodies)
	defer events.Close()
	flush := http.NewResponseController(q.w)
	q.sequence.Begin()
	hasBegun, isRecorded := false, false
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && !hasBegun && x.EndsAtClose() {
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			if !q.hasAnswer {
				q.writeHead(x.Response, -1)
			}
			q.decision = "served"
			return true, placer.EndedComplete
		}
		if err != nil {
			q.recordBreak(s.Endpoint, hasBegun)
			return q.endBrokenStream(err, s)
		}
		if !hasBegun && e.IsProgress() {
			hasBegun = true
			q.recordFirstByte(ticket, s)
		}
		if e.ID >= 0 && q.firstEvent == continuer.NoEvent {
			q.firstEvent = e.ID
		}
		if e.IsProgress() {
			if err := q.sequence.Add(e.ID); err != nil {
				return q.endBrokenStream(err, s)
			}
			if outlived := q.progress.Event(time.Now(), int(q.sequence.Last()+1)); outlived > 0 {
				q.isolator.Outlived(q.parts, outlived)
			}
		}
		if !q.beginAnswer() {
			q.endUnanswered(ErrStopping)
			return true, placer.EndedLocally
		}
		if !q.hasAnswer {
			q.writeHead(x.Response, -1)
		}
		if e.IsProgress() && !isRecorded && !q.atPeer {
			isRecorded = true
			q.begun = option.Some(s.Endpoint.Software())
			q.resumer.Began(q.stream, s.Endpoint)
		}
		if _, err := q.w.Write(e.Raw); err != nil {
			q.cause, q.decision, q.mustAbort = err, "caller left", true
			return true, placer.EndedLocally
		}
		q.events++
		if !events.HasMore() {
			_ = flush.Flush()
		}
	}
}

// endBrokenStream handles a stream that broke off: the request is retried or ended.
func (q *request) endBrokenStream(err error, s placer.Send) (bool, placer.Ending) {
	how := placer.EndedFailed
	if q.ctx.Err() != nil || q.isCutOff() {
		how = placer.EndedLocally
	}
	q.cause = errors.Wrap(err, "read stream of endpoint "+s.Endpoint.ID)
	if e, ok := q.registry().Endpoints[s.Endpoint.ID]; ok && e.Software() != s.Endpoint.Software() {
		// Its version changed under its id: it can't be told which one wrote what was forwarded.
		q.endUnanswered(q.cause)
		return true, how
	}
	return q.endUnlessRetryable(q.cause), how
}
