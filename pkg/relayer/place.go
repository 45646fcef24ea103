package relayer

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
)

// place picks an endpoint by the current configuration of the route that accepted the request, or refuses the request.
func (q *request) place() (placer.Decision, *placer.Ticket) {
	reg := q.registry()
	route, ok := reg.Config.Route(q.route.Host, q.route.PathPrefix)
	if !ok || route.Kind != q.route.Kind {
		return placer.Refuse{Reason: "the route is gone"}, nil
	}
	q.route = route
	q.limitAttempts()
	v := q.isolator.Check(q.parts)
	if v.Part != "" && !v.IsProbeDue && !q.isProbe(v.Part) {
		return refuseQuarantined(v), nil
	}
	if !q.knowsBeginning() {
		return placer.Refuse{Reason: "it is not known which software version began the stream"}, nil
	}
	candidates := continuer.Candidates(q.begun, reg.EndpointsOf(route.ServiceFor(q.stream)))
	if _, isBound := q.begun.Get(); isBound && len(candidates) == 0 {
		return placer.Refuse{Reason: "no endpoint of the software version that began the stream accepts requests"}, nil
	}
	now := time.Now()
	account, _ := q.admission.Account()
	d, ticket := q.balancer.Place(q.ctx, placer.Request{
		Route: route, Candidates: candidates, Tried: q.tried, Software: q.begun, Left: q.deadline.Sub(now),
		Waited: now.Sub(q.start), Connected: dialer.Connected(q.pool, placer.KeyOf),
		Account: account.Name, Priority: q.admission.Priority(route),
	})
	s, isSend := d.(placer.Send)
	if !isSend {
		return d, ticket
	}
	if v.Part != "" && !q.beginProbe(v.Part) {
		q.balancer.End(ticket, placer.EndedLocally)
		return refuseQuarantined(v), nil
	}
	q.endpoint, q.load, q.estimate, q.decision = s.Endpoint.ID, s.Load, s.Estimate, "send"
	return d, ticket
}

// knowsBeginning finds which software version began the stream, if another VM has brought its first events; it returns false if
// that can't be told.
func (q *request) knowsBeginning() bool {
	if _, ok := q.begun.Get(); ok || q.sequence.Last() == continuer.NoEvent {
		return true
	}
	q.begun = q.resumer.SoftwareOf(q.ctx, q.r.Host, q.r.URL.Path, q.stream)
	_, ok := q.begun.Get()
	return ok
}

func refuseQuarantined(v quarantiner.Verdict) placer.Refuse {
	if quarantiner.IsRequest(v.Part) {
		return placer.Refuse{Reason: "this request crashes endpoints", RetryAfter: v.Left}
	}
	return placer.Refuse{Reason: "part " + v.Part + " of the prompt crashes endpoints", RetryAfter: v.Left}
}

// isProbe reports whether the request was sent to probe the part, and no endpoint has run it yet.
func (q *request) isProbe(part string) bool { return q.probed == part && q.runs == 0 }

// beginProbe makes the request the next probe of the part; it returns false if another request was faster.
func (q *request) beginProbe(part string) bool {
	if !q.isProbe(part) && !q.isolator.BeginProbe(part) {
		return false
	}
	q.probed = part
	return true
}
