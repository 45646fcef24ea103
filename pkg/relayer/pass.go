package relayer

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
)

// holdBack is the largest answer that is read whole before its head is passed on, so that a broken one can be made good.
const holdBack = 64 << 10

// passWhole passes on an answer that is not a stream of events.
func (q *request) passWhole(x *dialer.Exchange, ticket *placer.Ticket, s placer.Send) (bool, placer.Ending) {
	head := bytes.Buffer{}
	_, err := io.CopyN(&head, x, holdBack)
	q.balancer.FirstByte(ticket, s.NeedsYield)
	q.noteFirst()
	switch {
	case err == nil:
		return q.passLong(x, head.Bytes())
	case !errors.Is(err, io.EOF):
		q.cause = errors.Wrap(err, "read answer of endpoint "+s.Endpoint.ID)
		return q.endAfterDoubt(q.cause), placer.EndedBroken
	}
	q.writeHead(x.Response, int64(head.Len()))
	_, _ = q.w.Write(head.Bytes())
	q.decision = "served"
	return true, placer.EndedWhole
}

// passLong passes on an answer that is too large to be held back.
func (q *request) passLong(x *dialer.Exchange, head []byte) (bool, placer.Ending) {
	q.writeHead(x.Response, x.Response.ContentLength)
	if _, err := q.w.Write(head); err == nil {
		_, err = io.Copy(q.w, x)
		if err == nil {
			q.decision = "served"
			return true, placer.EndedWhole
		}
		q.cause = err
	}
	q.decision, q.mustAbort = "cut", true
	return true, placer.EndedBroken
}

func (q *request) writeHead(res *http.Response, length int64) {
	h := q.w.Header()
	for name, values := range ForwardHeader(res.Header) {
		h[name] = values
	}
	// Without these entries the library would add headers of its own.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	if length >= 0 && hasBody(q.r.Method, res.StatusCode) {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.hasAnswer, q.status = true, res.StatusCode
	q.w.WriteHeader(res.StatusCode)
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func (q *request) noteFirst() {
	q.stopPatience()
	if q.first == 0 {
		q.first = time.Since(q.start)
		q.metrics.FirstByte(q.route.Name, q.first)
	}
}

// passStream passes whole events on as they arrive.
func (q *request) passStream(x *dialer.Exchange, ticket *placer.Ticket, s placer.Send) (bool, placer.Ending) {
	events := NewEventReader(x)
	flush := http.NewResponseController(q.w)
	for hasBegun := false; ; hasBegun = true {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !q.hasAnswer {
				q.writeHead(x.Response, -1)
			}
			q.decision = "served"
			return true, placer.EndedWhole
		}
		if err != nil {
			return q.endBrokenStream(err, s)
		}
		if !hasBegun {
			q.balancer.FirstByte(ticket, s.NeedsYield)
			q.noteFirst()
		}
		if e.ID >= 0 && e.ID <= q.lastEvent {
			continue
		}
		if !q.hasAnswer {
			q.writeHead(x.Response, -1)
		}
		if _, err := q.w.Write(e.Raw); err != nil {
			q.cause, q.decision, q.mustAbort = err, "caller left", true
			return true, placer.EndedHere
		}
		q.events++
		if e.ID >= 0 {
			q.lastEvent = e.ID
		}
		if !events.HasMore() {
			_ = flush.Flush()
		}
	}
}

func (q *request) endBrokenStream(err error, s placer.Send) (bool, placer.Ending) {
	how := placer.EndedBroken
	if q.ctx.Err() != nil {
		how = placer.EndedHere
	}
	q.cause = errors.Wrap(err, "stream of endpoint "+s.Endpoint.ID)
	return q.endAfterDoubt(q.cause), how
}
