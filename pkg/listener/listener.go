package listener

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
)

const (
	// idleTimeout holds where the configuration has no limit.
	idleTimeout = 60 * time.Second
	// idleEvery is how late an idle connection may end behind the configuration's limit.
	idleEvery      = time.Second
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 256 << 10
)

// Jobs answers the calls of batch jobs.
type Jobs interface {
	// ServeCall answers a call about a job, and says whether the request is one.
	ServeCall(w http.ResponseWriter, r *http.Request) bool
	// Submit takes a job in.
	Submit(w http.ResponseWriter, r *http.Request, route registrar.Route)
}

// Config says where to listen.
type Config struct {
	Callers, Ready, Metrics netip.AddrPort
	// ReadyPath and MetricsPath are where the balancer and a scraper ask.
	ReadyPath, MetricsPath string
	// HasPeers says whether the VM knows its peers: one that doesn't fills slots that others use, and learns of nothing
	// when it loses the store.
	HasPeers func() bool
}

// Listener owns the servers of the VM.
type Listener struct {
	cfg       Config
	registry  func() *registrar.Registry
	relayer   *relayer.Relayer
	jobs      Jobs
	metrics   http.Handler
	log       logrus.FieldLogger
	servers   []*http.Server
	callers   *http.Server
	idle      idleConns
	stopIdle  context.CancelFunc
	isLeaving atomic.Bool
	open      atomic.Int64
}

// New returns a listener.
func New(
	cfg Config, registry func() *registrar.Registry, rl *relayer.Relayer, jobs Jobs, metrics http.Handler,
	log logrus.FieldLogger,
) *Listener {
	return &Listener{
		cfg: cfg, registry: registry, relayer: rl, jobs: jobs, metrics: metrics, log: log,
		idle: idleConns{since: map[net.Conn]time.Time{}}, stopIdle: func() {},
	}
}

// Start opens the addresses.
func (l *Listener) Start() error {
	l.callers = &http.Server{
		Handler: http.HandlerFunc(l.serveCaller), IdleTimeout: idleTimeout, ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil, ConnState: l.idle.track,
	}
	listen := net.ListenConfig{}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+l.cfg.ReadyPath, l.serveReady)
	metrics := http.NewServeMux()
	metrics.Handle("GET "+l.cfg.MetricsPath, l.metrics)
	for _, s := range []struct {
		server *http.Server
		addr   netip.AddrPort
	}{
		{l.callers, l.cfg.Callers},
		{&http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}, l.cfg.Ready},
		{&http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout}, l.cfg.Metrics},
	} {
		socket, err := listen.Listen(context.Background(), "tcp4", s.addr.String())
		if err != nil {
			return errors.Wrapf(err, "listen on %s", s.addr)
		}
		l.servers = append(l.servers, s.server)
		go l.runServer(s.server, socket)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stopIdle = cancel
	go l.runIdle(ctx)
	return nil
}

func (l *Listener) runIdle(ctx context.Context) {
	pauser.Every(ctx, idleEvery, func(now time.Time) { l.closeIdle(now) })
}

// closeIdle closes the connections that are idle for longer than the configuration allows, and returns how many.
func (l *Listener) closeIdle(now time.Time) int {
	reg := l.registry()
	if !reg.IsReady() || reg.Config.Limits.IdleTimeout <= 0 {
		return 0
	}
	return l.idle.closeOlder(now, reg.Config.Limits.IdleTimeout)
}

func (l *Listener) runServer(s *http.Server, socket net.Listener) {
	if err := s.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		l.log.WithError(err).Error("server ended")
	}
}

// Leave makes the VM unready and ends connections after their next answer.
func (l *Listener) Leave() {
	l.isLeaving.Store(true)
}

// Open returns how many callers' requests are under way.
func (l *Listener) Open() int64 { return l.open.Load() }

// Stop closes all connections.
func (l *Listener) Stop(ctx context.Context) {
	l.stopIdle()
	for _, s := range l.servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
}

func (l *Listener) serveReady(w http.ResponseWriter, _ *http.Request) {
	if l.isLeaving.Load() || !l.registry().IsReady() || !l.cfg.HasPeers() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unreadyRetry is when a caller should come back to a VM that has no configuration yet.
const unreadyRetry = 300 * time.Millisecond

func (l *Listener) serveCaller(w http.ResponseWriter, r *http.Request) {
	l.open.Add(1)
	defer l.open.Add(-1)
	if l.isLeaving.Load() {
		w.Header().Set("Connection", "close")
	}
	reg := l.registry()
	if !reg.IsReady() {
		l.log.WithField("path", r.URL.Path).Info("request not admitted: no configuration is known yet")
		relayer.WriteRetry(w, http.StatusServiceUnavailable, unreadyRetry, "no configuration is known yet")
		return
	}
	if limit := reg.Config.Limits.BodyBytes; limit > 0 && r.ContentLength > limit {
		l.relayer.Refuse(w, r, http.StatusRequestEntityTooLarge, (&relayer.BodyTooLargeError{Limit: limit}).Error())
		return
	}
	if limit := reg.Config.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		l.relayer.Refuse(w, r, http.StatusRequestHeaderFieldsTooLarge,
			"the headers have more than "+strconv.Itoa(limit)+" bytes: send less")
		return
	}
	if l.jobs.ServeCall(w, r) {
		return
	}
	route, ok := reg.Config.Match(r.Host, r.URL.Path)
	if !ok {
		l.relayer.Refuse(w, r, http.StatusNotFound, "no route has this host and path")
		return
	}
	if route.Kind == registrar.KindBatch && r.Method == http.MethodPost {
		l.jobs.Submit(w, r, route)
		return
	}
	l.relayer.Serve(w, r, route)
}

func headerBytes(r *http.Request) int {
	n := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
