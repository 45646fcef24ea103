package relayer

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"

	"github.com/dogwoodledge/dogwoodledge/pkg/admitter"
	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/drainer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
	"github.com/dogwoodledge/dogwoodledge/pkg/tracer"
)

const (
	// maxRefusals is the number of refusals by endpoints after which no further endpoint is tried.
	maxRefusals = 3
	// refusalLines bounds the log lines a second about requests that are not admitted, by status: a flood has thousands.
	refusalLines = 20
	// defaultTimeout applies to a request whose route sets no timeout; the caller may ask for a shorter one.
	defaultTimeout = 30 * time.Second
	// minTimeLeft is the time left until the deadline below which a request is not sent: a round trip between regions.
	minTimeLeft = 45 * time.Millisecond
)

// Metrics records outcomes and latencies of requests; its methods must not block.
type Metrics interface {
	// RequestEnded records the outcome of a request and its duration.
	RequestEnded(route, outcome string, took time.Duration)
	// FirstByte records the time from a request's arrival to the first byte of its answer.
	FirstByte(route string, took time.Duration)
}

// Isolator keeps requests that crash endpoints from further endpoints; its methods must not block.
type Isolator interface {
	// Check returns whether a request with the parts of a prompt may be sent.
	Check(parts []string) quarantiner.Verdict
	// BeginProbe records that a request with the quarantined part is sent as a probe; it returns false if another one was.
	BeginProbe(part string) bool
	// Completed records that a request with the parts was completed.
	Completed(parts []string)
	// BrokeOff records that a request with the parts broke off at the endpoint; strike says what is known of its answer.
	BrokeOff(e registrar.Endpoint, parts []string, strike quarantiner.Strike)
	// Outlived records that a request with the parts has made progress since it had that many events of its answer.
	Outlived(parts []string, events int)
}

// Confirmer tells whole answers from parts.
type Confirmer interface {
	// BodyOf returns a reader of the answer's body, which returns io.EOF only if the answer is whole.
	BodyOf(ctx context.Context, x *dialer.Exchange, e registrar.Endpoint) io.Reader
}

// Resumer knows which software version began a stream.
type Resumer interface {
	// SoftwareOf returns the software version that began the stream for a request with the host and path, by the id of the attempt
	// that brought its first event; none if it can't be told.
	SoftwareOf(ctx context.Context, host, path, stream string) option.Option[registrar.Software]
	// Began records that the endpoint brings the first event of the stream, or continues it; it must not block.
	Began(stream string, e registrar.Endpoint)
}

// Relayer serves the online requests of callers.
type Relayer struct {
	headers   Headers
	registry  func() *registrar.Registry
	balancer  *balancer.Balancer
	pool      *dialer.Pool
	isolator  Isolator
	confirmer Confirmer
	resumer   Resumer
	admitter  *admitter.Admitter
	// onLeaving is called for each answer whose endpoint says that it leaves.
	onLeaving func(registrar.Endpoint)
	metrics   Metrics
	log       logrus.FieldLogger
	// bodies reads the callers' bodies.
	bodies *bodyreader.Reader
	// refusalLog bounds the log lines about requests that are not admitted, by status.
	refusalLog *tracer.Sampler
	// drain is the VM's planned stop; nil before.
	drain atomic.Pointer[drainer.Drain]
	// ending ends when the VM answers what is still unanswered; end ends it.
	ending context.Context
	end    context.CancelFunc
	// handover is nil if requests are not handed over to other VMs.
	handover *Handover
}

// New returns a relayer; it calls onLeaving for each answer whose endpoint says that it leaves.
func New(
	h Headers, registry func() *registrar.Registry, b *balancer.Balancer, pool *dialer.Pool, i Isolator, c Confirmer, rs Resumer,
	a *admitter.Admitter, onLeaving func(registrar.Endpoint), m Metrics, log logrus.FieldLogger,
) *Relayer {
	ending, end := context.WithCancel(context.Background())
	return &Relayer{
		ending: ending, end: end,
		headers: h, registry: registry, balancer: b, pool: pool, isolator: i, confirmer: c, resumer: rs,
		admitter: a, onLeaving: onLeaving, metrics: m, log: log, refusalLog: tracer.NewSampler(refusalLines),
	}
}

// Leave refuses the requests that the drain doesn't accept from now on.
func (l *Relayer) Leave(d drainer.Drain) { l.drain.Store(&d) }

// EndUnanswered ends the requests that have no answer yet, those whose bodies are incomplete too, with an answer of this VM.
//
// A request whose answer has begun goes on.
func (l *Relayer) EndUnanswered() { l.end() }

// ErrStopping is the cancellation cause of a request, or a call about a job, that is unanswered at the end of the VM's stop.
var ErrStopping = errors.New("this VM stops")

// errTimeout is the cancellation cause of a request whose deadline has passed.
var errTimeout = errors.New("time is over")

// Serve answers an online request of the route. It aborts the caller's connection, mostly by a panic with http.ErrAbortHandler,
// if an answer has begun and can't be completed.
func (l *Relayer) Serve(w http.ResponseWriter, r *http.Request, route registrar.Route) {
	l.serve(w, r, route, "")
}

// serve does what Serve does for a request that the VM delegatedBy has handed over; empty for one of a caller.
func (l *Relayer) serve(w http.ResponseWriter, r *http.Request, route registrar.Route, delegatedBy string) {
	start := time.Now()
	admission, refusal := l.admitter.Admit(r, route)
	if refusal != nil {
		writeAdmissionRefusal(w, refusal)
		return
	}
	spanCtx, span := otel.Tracer("relayer").Start(r.Context(), "request "+route.Name)
	defer span.End()
	r = r.WithContext(spanCtx)
	body, lease, err := l.readBody(w, r)
	if err != nil {
		l.refuseBody(w, r, err)
		return
	}
	defer lease.Close()
	q := &request{
		Relayer: l, w: w, r: r, admission: admission, route: route, body: body, start: start, delegatedBy: delegatedBy,
		id: r.Header.Get(l.headers.RequestID), tried: map[string]bool{}, firstEvent: continuer.NoEvent,
		parts: slices.Concat(
			l.headers.PartsOf(r.Header), []string{quarantiner.RequestPart(r.Method, r.Host, r.RequestURI, body)},
		),
	}
	q.stream, q.sequence = q.id, continuer.NewSequence(q.resumedAfter())
	q.deadline = start.Add(q.timeLimit())
	// The body may have come slowly, so the time of its end counts.
	if d := l.drain.Load(); d != nil && !d.Accepts(time.Now(), q.deadline) {
		l.RefuseLeaving(w, r)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, errTimeout)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	q.ctx = ctx
	q.outlastEnd = context.AfterFunc(l.ending, func() { end(ErrStopping) })
	defer q.outlastEnd()
	if q.findBeginning() && (q.isDelegated() || q.isWithinRate()) {
		q.run()
	}
	q.logEnd()
	if q.mustAbort {
		abort(w, r)
	}
}

// request is one online request of a caller.
type request struct {
	*Relayer
	w   http.ResponseWriter
	r   *http.Request
	ctx context.Context
	// admission says whose request it is.
	admission *admitter.Admission
	route     registrar.Route
	// delegatedBy is the VM that handed the request over; empty if this VM got it from its caller.
	delegatedBy string
	id          string
	// parts holds the ids of the shared parts of the prompt, and the part that stands for the whole request.
	parts []string
	// probed is the quarantined part that the request probes, if any.
	probed   string
	body     []byte
	start    time.Time
	deadline time.Time
	// outlastEnd keeps EndUnanswered from ending the request; it returns false if that has happened.
	outlastEnd func() bool

	// runs counts the attempts in which an endpoint may have run the request.
	runs int
	// cutOff counts those of the runs that were ended because this VM hears no endpoint any more.
	cutOff int
	// refusals counts the endpoints that refused the request.
	refusals int
	// triedVMs holds the VMs that the request was handed over to; atPeer says that the attempt is one of another VM.
	triedVMs map[string]bool
	atPeer   bool
	// tried holds the ids of the endpoints of earlier attempts.
	tried map[string]bool
	// rejectedBy holds the endpoints that answered that the message is at fault, while no other one has answered it.
	rejectedBy []registrar.Endpoint
	// hasAnswer says that the head of an answer has been forwarded.
	hasAnswer bool
	// sequence is that of the events that were forwarded, to the caller's earlier attempts too if the request resumes their stream.
	sequence continuer.Sequence
	// mediaType is that of the answer that was begun.
	mediaType string
	// events counts the events forwarded.
	events int
	// stream is the id of the attempt that brought the stream's first event, and begun the software version that did; none while
	// no event was brought.
	stream string
	begun  option.Option[registrar.Software]
	// mustAbort says that the caller's connection must be aborted, since an answer was begun and can't be completed.
	mustAbort bool

	// attemptTimer aborts an attempt that has nothing to forward within its timeout; it is set only if another endpoint may be
	// tried.
	attemptTimer *time.Timer
	// attemptCtx ends with the attempt, or when this VM or the caller ends it.
	attemptCtx context.Context
	// progress is how far the attempt has come.
	progress quarantiner.Progress

	// The fields below are logged when the request ends.

	endpoint string
	// endsAtClose says that the last answer had neither a length nor chunks.
	endsAtClose bool
	// firstEvent is the id of the first event of the last attempt, continuer.NoEvent before it.
	firstEvent int64
	decision   string
	estimate   time.Duration
	load       placer.Load
	firstByte  time.Duration
	status     int
	cause      error
}

// timeLimit returns the shorter of the route's timeout and the one that the caller's header states in milliseconds.
func (q *request) timeLimit() time.Duration {
	limit := defaultTimeout
	if q.route.Timeout > 0 {
		limit = q.route.Timeout
	}
	if ms, err := strconv.ParseFloat(q.r.Header.Get(q.headers.Timeout), 64); err == nil && ms > 0 {
		limit = min(limit, time.Duration(ms*float64(time.Millisecond)))
	}
	return limit
}

// resumedAfter returns the id of the event after which the request resumes a stream, or continuer.NoEvent.
func (q *request) resumedAfter() int64 {
	if q.route.Kind != registrar.KindStream || !q.route.IsResumable {
		return continuer.NoEvent
	}
	last, err := strconv.ParseInt(q.r.Header.Get(q.headers.LastEventID), 10, 64)
	if err != nil || last < 0 {
		return continuer.NoEvent
	}
	return last
}

// findBeginning finds which software version began the stream that the request resumes, if it does. It refuses the request if
// that can't be told, and returns false: what another version writes would not fit.
func (q *request) findBeginning() bool {
	if q.route.Kind != registrar.KindStream || q.r.Header.Get(q.headers.LastEventID) == "" {
		return true
	}
	if id := q.r.Header.Get(q.headers.Resumes); id != "" {
		q.stream = id
	}
	q.begun = q.resumer.SoftwareOf(q.ctx, q.r.Host, q.r.URL.Path, q.stream)
	if _, ok := q.begun.Get(); !ok {
		q.refuse(placer.Refuse{
			Reason: "it is not known which software version began the stream", RetryAfter: unknownRetryAfter,
		})
		return false
	}
	return true
}

// run makes attempts until the request has its final answer.
func (q *request) run() {
	for {
		if q.ctx.Err() != nil {
			q.endUnanswered(context.Cause(q.ctx))
			return
		}
		if q.refuseDelegated() {
			return
		}
		if q.mayDelegate() {
			if q.delegate() {
				return
			}
			q.logAttempt()
			continue
		}
		d, ticket := q.place()
		send, ok := d.(placer.Send)
		if !ok && q.isStopping() {
			continue
		}
		if !ok {
			q.refuse(d.(placer.Refuse))
			return
		}
		isOver := q.attempt(send, ticket)
		if isOver {
			return
		}
		q.logAttempt()
	}
}

// attempt sends the request to one endpoint and reports whether the request is over.
func (q *request) attempt(s placer.Send, ticket *placer.Ticket) bool {
	_, span := otel.Tracer("relayer").Start(q.ctx, "endpoint "+s.Endpoint.ID)
	defer span.End()
	ending := placer.EndedFailed
	defer func() { q.balancer.End(ticket, ending) }()
	q.tried[s.Endpoint.ID] = true
	q.endsAtClose, q.firstEvent, q.progress = false, continuer.NoEvent, quarantiner.Progress{}
	conn, err := q.pool.Get(q.ctx, s.Endpoint.ID, s.Endpoint.Address, q.id)
	if err != nil {
		q.cause = err
		if q.ctx.Err() != nil {
			ending = placer.EndedLocally
		}
		return false
	}
	left := time.Until(q.deadline)
	if maySend, isOver := q.checkSend(s.Endpoint, left); !maySend {
		_ = conn.Close()
		ending = placer.EndedLocally
		return isOver
	}
	q.runs++
	ctx, cancel := q.withAttemptTimeout()
	defer cancel()
	ctx, cutOff := context.WithCancelCause(ctx)
	defer cutOff(nil)
	defer q.endOnSilence(ticket, cutOff)()
	q.attemptCtx = ctx
	x, err := q.pool.Do(ctx, conn, q.outgoing(s.Endpoint, left))
	if err != nil {
		q.cause = err
		if q.endIfUnsendable(err) {
			ending = placer.EndedLocally
			return true
		}
		ending = q.endingOfError(err, s.Endpoint)
		return q.endUnlessRetryable(err)
	}
	defer x.Close()
	q.endsAtClose = x.EndsAtClose()
	if x.Response.Header.Get(q.headers.Leaving) != "" {
		q.onLeaving(s.Endpoint)
	}
	q.balancer.ObserveAnswer(ticket, q.headers.RateLimitOf(x.Response.Header), q.headers.IsSigned(x.Response, q.id))
	isOver, how := q.handleAnswer(x, ticket, s)
	ending = how
	if how == placer.EndedComplete && x.Response.StatusCode < 300 {
		q.isolator.Completed(q.parts)
	}
	return isOver
}

// checkSend reports whether the request, which has the time left, may be sent to the endpoint to which a connection was opened.
// If not, it reports whether the request is over.
func (q *request) checkSend(e registrar.Endpoint, left time.Duration) (maySend, isOver bool) {
	if !q.registry().IsUsable(e) {
		// The endpoint began to drain, or left, while the connection was opened.
		return false, false
	}
	if q.hasLostLinks() {
		return false, q.refuseDelegated()
	}
	return q.checkTime(left)
}

// checkTime is checkSend as far as no endpoint matters.
func (q *request) checkTime(left time.Duration) (maySend, isOver bool) {
	if left < minTimeLeft || q.ctx.Err() != nil {
		q.endUnanswered(errTimeout)
		return false, true
	}
	if d := q.drain.Load(); d != nil && q.runs == 0 && !d.Accepts(time.Now(), q.deadline) {
		// Nobody could tell the caller how far the endpoint got when the VM ends. Not sent, the request can go to another VM.
		q.refuse(placer.Refuse{Reason: ErrStopping.Error()})
		return false, true
	}
	if refusal := q.admission.Recheck(q.route); refusal != nil {
		q.refuseAdmission(refusal)
		return false, true
	}
	return true, false
}

// recordBreak records that the attempt broke off at the endpoint, unless this VM or the caller ended it.
func (q *request) recordBreak(e registrar.Endpoint, hadAnswer bool) {
	if q.attemptCtx.Err() != nil || q.atPeer {
		return
	}
	strike := quarantiner.Strike{HadAnswer: hadAnswer}
	if q.route.Kind == registrar.KindStream && hadAnswer {
		strike.Events = int(q.sequence.Last() + 1)
	}
	if q.progress.IsSound() && q.probed == "" {
		strike.Delay = quarantiner.DelaysNone
	}
	q.isolator.BrokeOff(e, q.parts, strike)
}

// handleAnswer forwards an endpoint's answer. It returns whether the request is over, and how it ended at the endpoint.
func (q *request) handleAnswer(x *dialer.Exchange, ticket *placer.Ticket, s placer.Send) (bool, placer.Ending) {
	res := x.Response
	status := res.StatusCode
	isRefused := res.Header.Get(q.headers.NotExecuted) != "" || status == http.StatusMisdirectedRequest
	if isRefused && status != http.StatusBadRequest {
		q.runs--
		q.refusals++
		q.cause = errors.Errorf("endpoint %s refused with status %d", s.Endpoint.ID, status)
		x.Drain()
		if q.refusals < maxRefusals && q.ctx.Err() == nil {
			return false, placer.EndedFull
		}
		q.refuse(placer.Refuse{Reason: "the endpoints have no room"})
		return true, placer.EndedFull
	}
	if !q.headers.IsSigned(res, q.id) {
		q.cause = errors.Errorf("answer of endpoint %s with status %d is not signed for this request", s.Endpoint.ID, status)
		return q.endUnlessRetryable(q.cause), q.endingOfUnsigned(status, s.Endpoint)
	}
	q.blameRejecters(status)
	if status >= http.StatusInternalServerError && q.canRetry() {
		q.cause = errors.Errorf("endpoint %s answered status %d", s.Endpoint.ID, status)
		return false, placer.EndedFailed
	}
	if q.hasAnswer && !q.isRestOfAnswer(res) {
		q.cause = errors.Errorf("endpoint %s answered status %d, type %q to a resumed stream of type %q", s.Endpoint.ID, status,
			res.Header.Get("Content-Type"), q.mediaType)
		return q.endUnlessRetryable(q.cause), placer.EndedFailed
	}
	if q.route.Kind == registrar.KindStream && status < 300 {
		return q.forwardStream(x, ticket, s)
	}
	return q.forwardBody(x, ticket, s)
}

// isRestOfAnswer reports whether the answer can be the rest of the one that was begun, by its status and media type.
func (q *request) isRestOfAnswer(res *http.Response) bool {
	return res.StatusCode == q.status && MediaTypeOf(res.Header) == q.mediaType
}

// canRetry reports whether the request may be sent again after an attempt in which it may have run.
func (q *request) canRetry() bool {
	return q.route.IsIdempotent() && q.sequence.CanResume() && q.runs < q.route.MaxAttempts+q.cutOff && q.ctx.Err() == nil &&
		time.Until(q.deadline) > minTimeLeft
}

// endUnlessRetryable ends the request after an attempt with an indeterminate outcome, unless it may be retried; it reports
// whether it ended the request.
func (q *request) endUnlessRetryable(err error) bool {
	if q.isCutOff() {
		q.cutOff++
	}
	if q.canRetry() {
		return false
	}
	q.endUnanswered(err)
	return true
}

// isStopping reports whether EndUnanswered has ended the request.
func (q *request) isStopping() bool { return errors.Is(context.Cause(q.ctx), ErrStopping) }

// beginAnswer reports whether an answer that is not complete may be begun. If so, EndUnanswered doesn't end the request.
func (q *request) beginAnswer() bool { return q.hasAnswer || q.outlastEnd() }

// endUnanswered ends a request that got no usable answer from an endpoint.
func (q *request) endUnanswered(err error) {
	q.cause = err
	switch {
	case q.r.Context().Err() != nil:
		q.decision = "caller left"
	case q.hasAnswer:
		q.decision, q.mustAbort = "cut", true
	case q.isStopping() || errors.Is(err, ErrStopping):
		q.endStopping()
	case errors.Is(context.Cause(q.ctx), errTimeout) || errors.Is(err, errTimeout):
		q.fail(http.StatusGatewayTimeout, "timeout", "no answer in time")
	case q.runs > 0:
		q.fail(http.StatusBadGateway, "failed", "the endpoint gave no usable answer; the request may have run")
	default:
		q.refuse(placer.Refuse{Reason: "no endpoint could be reached"})
	}
}

// endStopping answers a request that has no answer at the end of the VM's stop.
func (q *request) endStopping() {
	if q.runs > 0 {
		q.fail(http.StatusGatewayTimeout, "stopping", "this VM stops; the request may have run")
		return
	}
	q.refuse(placer.Refuse{Reason: ErrStopping.Error()})
}

// fail answers with an error, and with decision as the outcome for the log and the metrics.
func (q *request) fail(status int, decision, detail string) {
	q.status, q.decision = status, decision
	WriteError(q.w, status, detail)
}

// refuse ends a request without a further attempt. The answer says that it has not run only if no attempt may have run it.
func (q *request) refuse(d placer.Refuse) {
	if d.Estimate > 0 {
		q.estimate = d.Estimate
	}
	switch {
	case q.hasAnswer:
		q.decision, q.mustAbort = "cut: "+d.Reason, true
	case q.runs > 0:
		q.fail(http.StatusBadGateway, "failed: "+d.Reason, "the request may have run, and "+d.Reason)
	default:
		q.status, q.decision = http.StatusServiceUnavailable, "refused: "+d.Reason
		WriteRefusal(q.w, q.status, max(d.RetryAfter, minRetryAfter), d.Reason)
	}
}

// minRetryAfter keeps a refused caller from retrying before the VMs' request counts can have changed; it covers two reports
// between VMs.
const minRetryAfter = 50 * time.Millisecond

// unknownRetryAfter is the Retry-After for a stream of which it is not known what began it: the VM that knows may be starting.
const unknownRetryAfter = 300 * time.Millisecond
