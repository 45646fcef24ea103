package server

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/acceptor"
	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/limiter"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/enginecontroller"
	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
	"github.com/dogwoodledge/dogwoodledge/pkg/forwarder"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// MaxBodyBytes bounds the body of a chat request or a service call.
	MaxBodyBytes = 1 << 20
	// operatorConnections bounds the connections of operators and of the scraper.
	operatorConnections = 64
)

// Config identifies this VM and sets its listen addresses, the hashes of the operators' keys and how long a drain may take.
type Config struct {
	VM                string
	Callers           netip.AddrPort
	Operators         netip.AddrPort
	OperatorKeyHashes []string
	DrainLimit        time.Duration
	// Connections bounds the connections of callers.
	Connections int
}

// Parts are the components that the server uses.
type Parts struct {
	Store            storer.Store
	Archiver         *archiver.Archiver
	Follower         *follower.Follower
	Dispatcher       *forwarder.Dispatcher
	Pools            *forwarder.Pools
	Membership       *messenger.Membership
	Caller           *messenger.Caller
	Claims           *ClaimRunner
	EngineController *enginecontroller.Controller
	Metrics          http.Handler
	// Bodies reads the bodies of requests; nil for no budget.
	Bodies *bodyreader.Reader
	Log    logrus.FieldLogger
	// OnBatch is called after a batch job is accepted or cancelled.
	OnBatch func()
	// OnEndpointUpdate is called when an operator stops new work on an endpoint, or allows it again.
	OnEndpointUpdate func(endpoint string, isLeaving bool)
}

// Server handles the HTTP requests of callers and operators.
type Server struct {
	Parts

	cfg      Config
	log      logrus.FieldLogger
	follower *follower.Follower
	validate *validator.Validate
	requests *requestMetrics

	limitMu sync.Mutex
	limiter *limiter.Limiter

	isLeaving atomic.Bool
	callers   *port
	operators *port
	// Connections counts what happened to connections of both ports.
	Connections acceptor.Counters
}

// New returns a server that does not listen yet.
func New(cfg Config, parts Parts) *Server {
	s := &Server{
		Parts: parts, cfg: cfg, log: parts.Log, follower: parts.Follower,
		validate: loader.NewValidator(), requests: newRequestMetrics(), limiter: limiter.New(),
	}
	s.callers = newPort("callers", s.observe(s.callerRoutes()), s.observe(http.HandlerFunc(s.refuseLeaving)))
	s.operators = newPort("operators", s.operatorRoutes(), http.HandlerFunc(s.refuseOperator))
	return s
}

// Start listens for callers and operators; it fails when an address can't be bound.
func (s *Server) Start() error {
	if err := s.callers.start(s.cfg.Callers, s.cfg.Connections, s.Bodies, &s.Connections, s.log); err != nil {
		return err
	}
	return s.operators.start(s.cfg.Operators, operatorConnections, s.Bodies, &s.Connections, s.log)
}

// Leave makes /readyz answer "not ready", so that the load balancer sends no new requests to this VM. Callers' connections are
// closed after their next answer, and operators' changes are refused.
func (s *Server) Leave() {
	s.isLeaving.Store(true)
	s.callers.leave()
}

// Drain refuses further requests of callers and waits until those in flight are answered. If ctx ends first, it closes the
// remaining connections and returns a *CutError.
func (s *Server) Drain(ctx context.Context) error {
	return s.callers.drain(ctx)
}

// Stop completes the operators' calls in flight, closes the server and waits until the outcomes of claims are stored. If ctx ends
// first, it returns a *CutError or an *UnsettledError.
func (s *Server) Stop(ctx context.Context) error {
	err := s.operators.drain(ctx)
	if claimsErr := s.Claims.Stop(ctx); err == nil {
		err = claimsErr
	}
	return err
}

// leavingProblem says that nothing was executed because this VM leaves.
func leavingProblem() *Problem {
	p := newProblem(http.StatusServiceUnavailable, "notReady", "Not ready", "this VM is leaving: ask another VM")
	return p.withRetry(time.Second)
}

func (s *Server) refuseLeaving(w http.ResponseWriter, r *http.Request) {
	leavingProblem().write(w, r)
}

// Reconfigure adjusts the account limits to the number of VMs and the preset's scale.
func (s *Server) Reconfigure(vms int, scale float64) {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.limiter.SetFleet(time.Now(), vms, scale)
}

func limitsOf(a declarer.Account) limiter.Limits {
	return limiter.Limits{Requests: a.Limits.RequestsPerSecond, Tokens: a.Limits.TokensPerSecond}
}

func (s *Server) callerRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", s.healthy).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	api := r.NewRoute().Subrouter()
	api.Use(s.authenticate)
	api.HandleFunc("/v1/chat/completions", s.chat).Methods(http.MethodPost)
	api.HandleFunc("/v1/models", s.listModels).Methods(http.MethodGet)
	api.HandleFunc("/v1/models/{id}", s.getModel).Methods(http.MethodGet)
	api.HandleFunc("/v1/files", s.uploadFile).Methods(http.MethodPost)
	api.HandleFunc("/v1/files", s.listFiles).Methods(http.MethodGet)
	api.HandleFunc("/v1/files/{id}", s.getFile).Methods(http.MethodGet)
	api.HandleFunc("/v1/files/{id}", s.deleteFile).Methods(http.MethodDelete)
	api.HandleFunc("/v1/files/{id}/content", s.getContent).Methods(http.MethodGet)
	api.HandleFunc("/v1/batches", s.createBatch).Methods(http.MethodPost)
	api.HandleFunc("/v1/batches", s.listBatches).Methods(http.MethodGet)
	api.HandleFunc("/v1/batches/{id}", s.getBatch).Methods(http.MethodGet)
	api.HandleFunc("/v1/batches/{id}/cancel", s.cancelBatch).Methods(http.MethodPost)
	api.PathPrefix("/services/{service}").HandlerFunc(s.callService)
	notFound := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		newProblem(http.StatusNotFound, "noRoute", "No such path", r.Method+" "+r.URL.Path+" is not served; see INTERFACE").write(w, r)
	})
	r.NotFoundHandler = notFound
	r.MethodNotAllowedHandler = notFound
	return r
}

func (s *Server) healthy(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// ready tells the load balancer whether it should send requests to this VM.
func (s *Server) ready(w http.ResponseWriter, r *http.Request) {
	reason := s.notReadyReason()
	if reason == "" {
		w.WriteHeader(http.StatusOK)
		return
	}
	newProblem(http.StatusServiceUnavailable, "notReady", "Not ready", reason).withRetry(time.Second).write(w, r)
}

// isolatedAfter is how long a VM stays ready while it receives nothing from the store and nothing from any other VM. The
// other VMs apply a new revision within this time, so a VM isolated for longer may serve an outdated configuration.
const isolatedAfter = 15 * time.Second

func (s *Server) notReadyReason() string {
	switch {
	case s.isLeaving.Load():
		return "this VM is leaving"
	case s.follower.Current().Head.Revision == 0:
		return "this VM has no configuration yet"
	case s.isIsolated(time.Now()):
		return "this VM hears neither the store nor any other VM"
	}
	return ""
}

func (s *Server) isIsolated(now time.Time) bool {
	answered := time.Unix(0, s.follower.StoreAnsweredAt.Load())
	hasPeers := len(s.Membership.View().Members) > 1
	return hasPeers && now.Sub(answered) > isolatedAfter && now.Sub(s.Membership.LastReceived()) > isolatedAfter
}
