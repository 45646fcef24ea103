package relayer

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/inspector"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/delegator"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
)

// outgoing returns the request as it is sent to the endpoint, with the time left until its deadline.
func (q *request) outgoing(e registrar.Endpoint, left time.Duration) dialer.Request {
	h := q.forwarded(left)
	delete(h, delegator.Header)
	q.setAccount(h)
	set(h, q.headers.ExpectInstance, e.ID)
	return q.request(h)
}

// outgoingToPeer returns the request as it is handed over, with the time left until its deadline. The other VM admits it by its
// caller's key.
func (q *request) outgoingToPeer(p *delegator.Delegation, left time.Duration) dialer.Request {
	h := q.forwarded(left)
	h[delegator.Header] = []string{p.From}
	if q.sequence.Last() != continuer.NoEvent {
		set(h, q.headers.Resumes, q.stream)
	}
	return q.request(h)
}

// forwarded returns the caller's headers as they are sent on, with the time left and the event after which a stream goes on.
func (q *request) forwarded(left time.Duration) http.Header {
	h := inspector.Forwarded(q.r.Header)
	if ids := q.r.Header[q.headers.RequestID]; len(ids) > 0 {
		// A Connection header may have named it.
		h[q.headers.RequestID] = ids
	}
	set(h, q.headers.Timeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if last := q.sequence.Last(); last != continuer.NoEvent {
		set(h, q.headers.LastEventID, strconv.FormatInt(last, 10))
	}
	return h
}

// set sets a header, if the protocol has a name for it.
func set(h http.Header, name, value string) {
	if name != "" {
		h[name] = []string{value}
	}
}

func (q *request) request(h http.Header) dialer.Request {
	return dialer.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: h, Body: q.body,
		IDHeader: q.headers.RequestID, ID: q.id,
	}
}
