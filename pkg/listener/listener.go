package listener

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/acceptor"
	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/drainer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	// defaultIdleTimeout is the limit for callers' idle connections if the configuration sets no shorter one.
	defaultIdleTimeout = 60 * time.Second
	// idleCheckInterval is the time between two checks for idle connections. A connection may exceed the configuration's limit
	// by this much.
	idleCheckInterval = time.Second
	headerTimeout     = 10 * time.Second
	// maxHeaderBytes bounds a head if the configuration sets no limit.
	maxHeaderBytes = 256 << 10
	// maxCheckHeaderBytes bounds the heads of readiness checks and of the scraper's requests; checkTimeout is how long these may
	// take.
	maxCheckHeaderBytes = 8 << 10
	checkTimeout        = 10 * time.Second
	// restTimeout bounds how long the rest of a body is read that the answer did not need.
	restTimeout = 2 * time.Second
	// maxJobCall is how long a call about a batch job may take.
	maxJobCall = 4 * time.Second
)

// Jobs serves the calls about batch jobs.
type Jobs interface {
	// HandlerOf returns what serves a request about a job that was submitted before; nil if the request is not one.
	HandlerOf(r *http.Request, cfg *registrar.Config) http.HandlerFunc
	// Submit accepts a new job and answers its caller.
	Submit(w http.ResponseWriter, r *http.Request, route registrar.Route)
}

// Config holds the addresses and paths of the listener.
type Config struct {
	// Callers, Ready and Metrics are the addresses for callers, readiness checks and the metrics scraper.
	Callers, Ready, Metrics netip.AddrPort
	// ReadyPath and MetricsPath are the paths that the load balancer and the scraper request.
	ReadyPath, MetricsPath string
	// HasPeers reports whether the VM knows its peers. A VM that doesn't would fill slots that others use, and could receive
	// no updates if it lost the store; so it is not ready.
	HasPeers func() bool
	// IsAway reports whether this VM hands its requests over to others, so that callers should rather go there; nil for never.
	IsAway func() bool
	// Limits are those of the VM.
	Limits acceptor.ClientLimits
	// Bodies holds what callers have sent; nil for no budget.
	Bodies *bodyreader.Reader
}

// Listener owns the VM's servers for callers, readiness checks and metrics.
type Listener struct {
	cfg      Config
	registry func() *registrar.Registry
	relayer  *relayer.Relayer
	jobs     Jobs
	metrics  http.Handler
	log      logrus.FieldLogger
	servers  []*http.Server
	callers  *http.Server
	// port accepts callers' connections.
	port     *acceptor.Port
	stopIdle context.CancelFunc
	// Connections counts what happened to connections of all three ports.
	Connections acceptor.Counters
	// drain is the planned stop that Leave was called with; nil before.
	drain atomic.Pointer[drainer.Drain]
	// isClosed says that all further requests are refused.
	isClosed atomic.Bool
	inFlight atomic.Int64
	// startedAt is when the ports were opened.
	startedAt time.Time
	// ending ends when the VM answers what is still unanswered; end ends it.
	ending context.Context
	end    context.CancelFunc
}

// New returns a listener that is not started.
func New(
	cfg Config, registry func() *registrar.Registry, rl *relayer.Relayer, jobs Jobs, metrics http.Handler,
	log logrus.FieldLogger,
) *Listener {
	ending, end := context.WithCancel(context.Background())
	return &Listener{
		cfg: cfg, registry: registry, relayer: rl, jobs: jobs, metrics: metrics, log: log, ending: ending, end: end,
		stopIdle: func() {},
	}
}

// Start listens on the addresses and serves them until Stop.
func (l *Listener) Start() error {
	l.callers = &http.Server{
		Handler: http.HandlerFunc(l.serveCaller), IdleTimeout: defaultIdleTimeout, ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil, ConnContext: withRequestCount,
	}
	l.startedAt = time.Now()
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+l.cfg.ReadyPath, l.serveReady)
	metrics := http.NewServeMux()
	metrics.Handle("GET "+l.cfg.MetricsPath, l.metrics)
	for _, s := range []struct {
		name        string
		server      *http.Server
		addr        netip.AddrPort
		connections int
		heads       func() acceptor.HeadLimits
	}{
		{"callers", l.callers, l.cfg.Callers, l.cfg.Limits.Connections, l.headLimits},
		{"readiness", newCheckServer(ready), l.cfg.Ready, acceptor.CheckConnections, checkHeadLimits},
		{"metrics", newCheckServer(metrics), l.cfg.Metrics, acceptor.CheckConnections, checkHeadLimits},
	} {
		port, err := l.listen(s.addr, acceptor.Config{
			Name: s.name, Connections: s.connections, Heads: s.heads, Bodies: l.cfg.Bodies,
		})
		if err != nil {
			return err
		}
		s.server.ConnState = port.Track
		l.servers = append(l.servers, s.server)
		if s.server == l.callers {
			l.port = port
		}
		go l.runServer(s.server, port)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stopIdle = cancel
	go l.runIdle(ctx)
	return nil
}

func (l *Listener) listen(addr netip.AddrPort, cfg acceptor.Config) (*acceptor.Port, error) {
	listen := net.ListenConfig{}
	socket, err := listen.Listen(context.Background(), "tcp4", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	return acceptor.New(socket, cfg, &l.Connections, l.log), nil
}

// newCheckServer returns a server for readiness checks or the scraper, whose requests are small and whose answers are taken at
// once.
func newCheckServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: checkTimeout, ReadTimeout: checkTimeout, WriteTimeout: checkTimeout,
		IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxCheckHeaderBytes,
	}
}

func checkHeadLimits() acceptor.HeadLimits {
	return acceptor.HeadLimits{Bytes: maxCheckHeaderBytes, Timeout: checkTimeout}
}

// headLimits returns the limits of a head that the active configuration sets.
func (l *Listener) headLimits() acceptor.HeadLimits {
	limits := acceptor.HeadLimits{Bytes: maxHeaderBytes, Timeout: headerTimeout}
	reg := l.registry()
	if !reg.IsReady() {
		return limits
	}
	if n := reg.Config.Limits.HeaderBytes; n > 0 {
		limits.Bytes = min(n, maxHeaderBytes)
	}
	if d := reg.Config.Limits.HeaderTimeout; d > 0 {
		limits.Timeout = min(d, headerTimeout)
	}
	return limits
}

func (l *Listener) runIdle(ctx context.Context) {
	sleeper.Every(ctx, idleCheckInterval, func(now time.Time) { l.closeIdle(now) })
}

// closeIdle closes the connections that have been idle for longer than the configuration allows, and returns their number.
func (l *Listener) closeIdle(now time.Time) int {
	reg := l.registry()
	if !reg.IsReady() || reg.Config.Limits.IdleTimeout <= 0 {
		return 0
	}
	return l.port.EndOlder(now, reg.Config.Limits.IdleTimeout)
}

func (l *Listener) runServer(s *http.Server, socket net.Listener) {
	if err := s.Serve(socket); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		l.log.WithError(err).Error("HTTP server ended; its port accepts no more connections")
	}
}

// Leave fails readiness checks from now on, has each caller's connection closed after its next answer, and refuses the requests
// that the drain doesn't accept.
func (l *Listener) Leave(d drainer.Drain) {
	l.relayer.Leave(d)
	l.drain.Store(&d)
}

// Close refuses all further requests; once InFlight is 0 after it, Stop cuts off no request.
func (l *Listener) Close() { l.isClosed.Store(true) }

// EndUnanswered ends the requests that have no answer yet with an answer of this VM; Close must come before it.
func (l *Listener) EndUnanswered() {
	l.relayer.EndUnanswered()
	l.end()
}

// InFlight returns the number of callers' requests in flight.
func (l *Listener) InFlight() int64 { return l.inFlight.Load() }

// Stop closes the callers' port, answers requests on open connections until ctx ends or none is open, and closes the servers.
// Call Close before it, so that these requests are refused.
func (l *Listener) Stop(ctx context.Context) {
	l.stopIdle()
	// http.Server.Shutdown would end the connections on which a request arrives from now on without an answer.
	if l.port != nil {
		_ = l.port.Close()
	}
	for l.port != nil && l.port.Open() > 0 && sleeper.Sleep(ctx, stopPoll) {
	}
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// stopPoll is the time between two checks for open connections at the end of a stop.
const stopPoll = 5 * time.Millisecond

func (l *Listener) serveReady(w http.ResponseWriter, _ *http.Request) {
	if l.drain.Load() != nil || !l.registry().IsReady() || !l.cfg.HasPeers() || l.isAway() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (l *Listener) isAway() bool { return l.cfg.IsAway != nil && l.cfg.IsAway() }

// unreadyRetryAfter is the Retry-After for callers of a VM that knows no configuration or no endpoint yet.
const unreadyRetryAfter = 300 * time.Millisecond

// serveCaller checks a request against the limits and dispatches it by its path and route.
func (l *Listener) serveCaller(w http.ResponseWriter, r *http.Request) {
	l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	if r.ContentLength != 0 {
		defer boundRest(w)
	}
	n := countRequest(r)
	d := l.drain.Load()
	if d != nil || l.isAway() {
		w.Header().Set("Connection", "close")
	}
	if d != nil {
		l.relayer.LogWhileLeaving(r, time.Since(d.Begun), n)
	}
	// The request is counted before this check, so that no request is passed on after Close and an InFlight of 0.
	if l.isClosed.Load() {
		l.relayer.RefuseLeaving(w, r)
		return
	}
	reg := l.awaitRegistry(r.Context())
	if !reg.IsReady() {
		l.log.WithField("path", r.URL.Path).Info("request not admitted: no configuration is known yet")
		relayer.WriteRefusal(w, http.StatusServiceUnavailable, unreadyRetryAfter, "no configuration is known yet")
		return
	}
	if l.relayer.RefuseOverLimits(w, r, reg.Config.Limits) {
		return
	}
	route, ok := reg.Config.Match(r.Host, r.URL.Path)
	isSubmission := ok && route.Kind == registrar.KindBatch && r.Method == http.MethodPost
	var serveJob http.HandlerFunc
	if !isSubmission {
		serveJob = l.jobs.HandlerOf(r, reg.Config)
	}
	// The relayer holds online requests to the drain by their own deadlines.
	isOnline := ok && serveJob == nil && !isSubmission
	if d != nil && !isOnline && !d.Accepts(time.Now(), time.Now().Add(maxJobCall)) {
		l.relayer.RefuseLeaving(w, r)
		return
	}
	if serveJob != nil {
		l.serveJobCall(w, r, l.relayer.AdmitCall(serveJob))
		return
	}
	if !ok {
		l.relayer.Refuse(w, r, http.StatusNotFound, "no route has this host and path")
		return
	}
	if route.Kind == registrar.KindUnsupported {
		l.relayer.Refuse(w, r, http.StatusServiceUnavailable, "route "+route.Name+" can't be used by this build")
		return
	}
	if isSubmission {
		submit := func(w http.ResponseWriter, r *http.Request) { l.jobs.Submit(w, r, route) }
		l.serveJobCall(w, r, l.relayer.AdmitSubmission(route, submit))
		return
	}
	l.relayer.Serve(w, r, route)
}

// boundRest bounds how long the server reads on after the answer to find the next request: the client may have stopped within the
// body.
func boundRest(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
}

// serveJobCall serves a call about a job within maxJobCall, and at the latest when the VM answers what is unanswered at the end
// of its stop. The call's context ends then, and at the end of the stop the read of its body, by a deadline.
func (l *Listener) serveJobCall(w http.ResponseWriter, r *http.Request, serve http.HandlerFunc) {
	ctx, cancel := context.WithTimeout(r.Context(), maxJobCall)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	outlastEnd := context.AfterFunc(l.ending, func() {
		end(relayer.ErrStopping)
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
	defer outlastEnd()
	serve(w, r.WithContext(ctx))
}

// requestCount is the key of a connection's context for the number of its requests.
type requestCount struct{}

// withRequestCount is the server's ConnContext hook; it adds a counter of the connection's requests.
func withRequestCount(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, requestCount{}, new(atomic.Int64))
}

// countRequest counts the request on its connection and returns the connection's number of requests so far.
func countRequest(r *http.Request) int64 {
	n, ok := r.Context().Value(requestCount{}).(*atomic.Int64)
	if !ok {
		return 1
	}
	return n.Add(1)
}
