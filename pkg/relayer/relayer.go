package relayer

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"

	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
)

const (
	// maxRefusals bounds the endpoints that may refuse one request before its caller is sent away.
	maxRefusals = 3
	// defaultTimeout bounds a request whose route and caller state no time.
	defaultTimeout = 30 * time.Second
	// shortestSend is the least time with which a request is worth sending: a round trip between regions.
	shortestSend = 45 * time.Millisecond
	// defaultMaxBody holds while no configuration states a limit.
	defaultMaxBody = 4 << 20
)

// Metrics counts what happens to requests; its methods must not block.
type Metrics interface {
	RequestEnded(route, outcome string, took time.Duration)
	FirstByte(route string, took time.Duration)
}

// Relayer serves the online requests of callers.
type Relayer struct {
	headers  Headers
	registry func() *registrar.Registry
	balancer *balancer.Balancer
	pool     *dialer.Pool
	metrics  Metrics
	log      logrus.FieldLogger
}

// New returns a relayer.
func New(
	h Headers, registry func() *registrar.Registry, b *balancer.Balancer, pool *dialer.Pool, m Metrics,
	log logrus.FieldLogger,
) *Relayer {
	return &Relayer{headers: h, registry: registry, balancer: b, pool: pool, metrics: m, log: log}
}

// errTimeout is the cause of a request that ran out of time.
var errTimeout = errors.New("time is over")

// Serve answers an online request of the route.
func (l *Relayer) Serve(w http.ResponseWriter, r *http.Request, route registrar.Route) {
	start := time.Now()
	spanCtx, span := otel.Tracer("relayer").Start(r.Context(), "request "+route.Name)
	defer span.End()
	r = r.WithContext(spanCtx)
	body, err := ReadBody(w, r, l.registry().Config.Limits.BodyBytes)
	if err != nil {
		l.Refuse(w, r, BodyStatus(err), err.Error())
		return
	}
	q := &request{
		Relayer: l, w: w, r: r, route: route, body: body, start: start,
		id: r.Header.Get(l.headers.RequestID), tried: map[string]bool{}, lastEvent: -1,
	}
	q.deadline = start.Add(q.timeLimit())
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, errTimeout)
	defer cancel()
	q.ctx = ctx
	q.run()
	q.logEnd()
	if q.mustAbort {
		panic(http.ErrAbortHandler)
	}
}

// BodyTooLargeError says that a body is over the limit.
type BodyTooLargeError struct {
	Limit int64
}

func (e *BodyTooLargeError) Error() string {
	return "the body has more than " + strconv.FormatInt(e.Limit, 10) + " bytes: send less"
}

// ReadBody reads a request's body up to the limit.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	tooLarge := (*http.MaxBytesError)(nil)
	if errors.As(err, &tooLarge) {
		return nil, &BodyTooLargeError{Limit: limit}
	}
	return body, errors.Wrap(err, "read body")
}

// BodyStatus returns the status for an error of ReadBody.
func BodyStatus(err error) int {
	if tooLarge := (*BodyTooLargeError)(nil); errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// Refuse answers a request that the configuration in force doesn't admit; it has not run.
func (l *Relayer) Refuse(w http.ResponseWriter, r *http.Request, status int, detail string) {
	l.log.WithFields(logrus.Fields{
		"request": r.Header.Get(l.headers.RequestID), "host": r.Host, "path": r.URL.Path, "status": status,
		"config": l.registry().Config.Version, "cause": detail,
	}).Info("request not admitted")
	WriteProblem(w, status, detail)
}

// WriteProblem writes a failure of our own.
func WriteProblem(w http.ResponseWriter, status int, detail string) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(detail)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, detail+"\n")
}

// WriteRetry refuses a request that has not run and never will.
func WriteRetry(w http.ResponseWriter, status int, after time.Duration, detail string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	WriteProblem(w, status, detail)
}

// request is one online request of a caller.
type request struct {
	*Relayer
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	route    registrar.Route
	id       string
	body     []byte
	start    time.Time
	deadline time.Time

	// runs counts the sends after which an endpoint may have run the request.
	runs     int
	refusals int
	tried    map[string]bool
	// hasAnswer says that the head of an answer has been passed on.
	hasAnswer bool
	lastEvent int64
	events    int
	mustAbort bool

	// patience ends an attempt that another endpoint may take over, unless a byte of its answer has come.
	patience *time.Timer

	// Kept for the log line.
	endpoint string
	decision string
	estimate time.Duration
	load     placer.Load
	first    time.Duration
	status   int
	cause    error
}

func (q *request) timeLimit() time.Duration {
	limit := defaultTimeout
	if q.route.Timeout > 0 {
		limit = q.route.Timeout
	}
	if ms, err := strconv.ParseFloat(q.r.Header.Get(q.headers.Deadline), 64); err == nil && ms > 0 {
		limit = min(limit, time.Duration(ms*float64(time.Millisecond)))
	}
	return limit
}

// run tries endpoints until the request has its final answer.
func (q *request) run() {
	for {
		if q.ctx.Err() != nil {
			q.giveUp(context.Cause(q.ctx))
			return
		}
		d, ticket := q.place()
		send, ok := d.(placer.Send)
		if !ok {
			q.refuse(d.(placer.Refuse))
			return
		}
		isOver := q.attempt(send, ticket)
		if isOver {
			return
		}
	}
}

func (q *request) place() (placer.Decision, *placer.Ticket) {
	reg := q.registry()
	route, ok := reg.Config.Match(q.r.Host, q.r.URL.Path)
	if !ok || route.Kind != q.route.Kind {
		return placer.Refuse{Reason: "the route is gone"}, nil
	}
	q.route = route
	now := time.Now()
	d, ticket := q.balancer.Place(placer.Ask{
		Route: route, Candidates: reg.Of(route.ServiceFor(q.id)), Tried: q.tried, Left: q.deadline.Sub(now),
		Waited: now.Sub(q.start),
	})
	if s, isSend := d.(placer.Send); isSend {
		q.endpoint, q.load, q.estimate, q.decision = s.Endpoint.ID, s.Load, s.Estimate, "send"
	}
	return d, ticket
}

// attempt sends the request to one endpoint and says whether it has its final answer.
func (q *request) attempt(s placer.Send, ticket *placer.Ticket) bool {
	_, span := otel.Tracer("relayer").Start(q.ctx, "endpoint "+s.Endpoint.ID)
	defer span.End()
	ending := placer.EndedBroken
	defer func() { q.balancer.End(ticket, ending) }()
	q.tried[s.Endpoint.ID] = true
	conn, err := q.pool.Get(q.ctx, s.Endpoint.ID, s.Endpoint.Address)
	if err != nil {
		q.cause = err
		if q.ctx.Err() != nil {
			ending = placer.EndedHere
		}
		return false
	}
	left := time.Until(q.deadline)
	if left < shortestSend || q.r.Context().Err() != nil {
		_ = conn.Close()
		ending = placer.EndedHere
		q.giveUp(errTimeout)
		return true
	}
	q.runs++
	ctx, cancel := q.limitPatience()
	defer cancel()
	x, err := q.pool.Do(ctx, conn, q.outgoing(s.Endpoint, left))
	if err != nil {
		q.cause = err
		if q.ctx.Err() != nil {
			ending = placer.EndedHere
		}
		return q.endAfterDoubt(err)
	}
	defer x.Close()
	isOver, how := q.takeAnswer(x, ticket, s)
	ending = how
	return isOver
}

// patienceFactor times the objective is how long an endpoint may keep silent before another one is asked.
const patienceFactor = 2

// errSilent is the cause of an attempt that was ended because nothing came.
var errSilent = errors.New("the endpoint sent nothing in time")

// limitPatience returns the context of an attempt, which ends early when the request may still go elsewhere.
func (q *request) limitPatience() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(q.ctx)
	if q.route.IsIdempotent() && q.runs < q.route.MaxAttempts && q.route.Objective > 0 && !q.hasAnswer {
		q.patience = time.AfterFunc(patienceFactor*q.route.Objective, func() { cancel(errSilent) })
	}
	return ctx, func() {
		q.stopPatience()
		cancel(nil)
	}
}

func (q *request) stopPatience() {
	if q.patience != nil {
		q.patience.Stop()
	}
}

func (q *request) outgoing(e registrar.Endpoint, left time.Duration) dialer.Request {
	h := ForwardHeader(q.r.Header)
	h[q.headers.Deadline] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	h[q.headers.ExpectInstance] = []string{e.ID}
	if q.lastEvent >= 0 {
		h[q.headers.LastEventID] = []string{strconv.FormatInt(q.lastEvent, 10)}
	}
	return dialer.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: h, Body: q.body,
		IDHeader: q.headers.RequestID, ID: q.id,
	}
}

// takeAnswer passes an endpoint's answer on and says whether the request is over and how it ended at the endpoint.
func (q *request) takeAnswer(x *dialer.Exchange, ticket *placer.Ticket, s placer.Send) (bool, placer.Ending) {
	res := x.Response
	status := res.StatusCode
	isRefused := res.Header.Get(q.headers.NotExecuted) != "" || status == http.StatusMisdirectedRequest
	if isRefused && status != http.StatusBadRequest {
		q.runs--
		q.refusals++
		q.cause = errors.Errorf("endpoint %s refused with status %d", s.Endpoint.ID, status)
		_, _ = io.Copy(io.Discard, io.LimitReader(x, maxEvent))
		if q.refusals < maxRefusals && q.ctx.Err() == nil {
			return false, placer.EndedFull
		}
		q.refuse(placer.Refuse{Reason: "the endpoints have no room"})
		return true, placer.EndedFull
	}
	if !q.headers.IsSigned(res, q.id) {
		q.cause = errors.Errorf("answer of endpoint %s with status %d is not signed for this request", s.Endpoint.ID, status)
		return q.endAfterDoubt(q.cause), placer.EndedBroken
	}
	if status >= http.StatusInternalServerError && q.canRunAgain() {
		q.cause = errors.Errorf("endpoint %s answered status %d", s.Endpoint.ID, status)
		return false, placer.EndedBroken
	}
	if status >= 300 && q.hasAnswer {
		q.cause = errors.Errorf("endpoint %s answered status %d to a resumed stream", s.Endpoint.ID, status)
		return q.endAfterDoubt(q.cause), placer.EndedBroken
	}
	if q.route.Kind == registrar.KindStream && status < 300 {
		return q.passStream(x, ticket, s)
	}
	return q.passWhole(x, ticket, s)
}

// canRunAgain says whether the request may be sent once more after it may have run.
func (q *request) canRunAgain() bool {
	return q.route.IsIdempotent() && q.runs < q.route.MaxAttempts && q.ctx.Err() == nil &&
		time.Until(q.deadline) > shortestSend
}

// endAfterDoubt says whether the request is over after a send of which nobody knows what became.
func (q *request) endAfterDoubt(err error) bool {
	if q.canRunAgain() {
		return false
	}
	q.giveUp(err)
	return true
}

// giveUp gives the final answer to a request that got none from an endpoint.
func (q *request) giveUp(err error) {
	q.cause = err
	switch {
	case q.r.Context().Err() != nil:
		q.decision = "caller left"
	case q.hasAnswer:
		q.decision, q.mustAbort = "cut", true
	case errors.Is(context.Cause(q.ctx), errTimeout) || errors.Is(err, errTimeout):
		q.fail(http.StatusGatewayTimeout, "timeout", "no answer in time")
	case q.runs > 0:
		q.fail(http.StatusBadGateway, "failed", "the endpoint gave no usable answer; the request may have run")
	default:
		q.refuse(placer.Refuse{Reason: "no endpoint could be reached"})
	}
}

func (q *request) fail(status int, decision, detail string) {
	q.status, q.decision = status, decision
	WriteProblem(q.w, status, detail)
}

// refuse sends the caller away; only a request that has not run is told so.
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
		WriteRetry(q.w, q.status, max(d.RetryAfter, shortestRetry), d.Reason)
	}
}

// shortestRetry keeps a refused caller from coming back before counts can have changed: two reports between VMs.
const shortestRetry = 50 * time.Millisecond

func (q *request) logEnd() {
	took := time.Since(q.start)
	q.metrics.RequestEnded(q.route.Name, q.decision, took)
	fields := logrus.Fields{
		"request": q.id, "route": q.route.Name, "config": q.registry().Config.Version, "endpoint": q.endpoint,
		"decision": q.decision, "online": q.load.Online, "batch": q.load.Batch, "estimate": ms(q.estimate),
		"first": ms(q.first), "took": ms(took), "status": q.status, "runs": q.runs,
	}
	if q.events > 0 {
		fields["events"] = q.events
	}
	if q.cause != nil {
		fields["cause"] = q.cause.Error()
	}
	q.log.WithFields(fields).Info("request ended")
}

func ms(d time.Duration) int64 { return d.Milliseconds() }
