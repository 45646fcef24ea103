package delegator

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/acceptor"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

// Start listens on the address and serves other VMs until Stop, or until ctx ends, which cuts off requests in flight. It returns
// an error if it can't listen.
func (d *Delegator) Start(ctx context.Context) error {
	listen := net.ListenConfig{}
	socket, err := listen.Listen(ctx, "tcp4", d.cfg.Address.String())
	if err != nil {
		return errors.Wrapf(err, "listen for requests of other VMs on %s", d.cfg.Address)
	}
	d.port = acceptor.New(socket, acceptor.Config{
		Name: "delegations", Connections: d.cfg.Limits.Connections, PerAddress: d.cfg.Limits.PerAddress,
		Heads: headLimits, Bodies: d.cfg.Bodies, RefusalHeader: d.cfg.Headers.NotExecuted,
	}, &d.Connections, d.log)
	d.server = &http.Server{
		Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeadBytes + serverSlack, ConnState: d.port.Track,
	}
	go d.runServer()
	context.AfterFunc(ctx, func() { _ = d.server.Close() })
	return nil
}

func headLimits() acceptor.HeadLimits {
	return acceptor.HeadLimits{Bytes: maxHeadBytes, Timeout: headTimeout}
}

func (d *Delegator) runServer() {
	if err := d.server.Serve(d.port); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		d.log.WithError(err).Error("HTTP server for requests of other VMs ended; its port accepts no more connections")
	}
}

// stopPoll is the time between two checks for open connections at the end of a stop.
const stopPoll = 5 * time.Millisecond

// awaitClosed accepts no more connections and waits until none is open, or until ctx ends.
func (d *Delegator) awaitClosed(ctx context.Context) {
	_ = d.port.Close()
	for d.port.Open() > 0 && sleeper.Sleep(ctx, stopPoll) {
	}
}

// serve passes a request of another VM on to the handler, or refuses it, and marks the answers of this VM.
func (d *Delegator) serve(w http.ResponseWriter, r *http.Request) {
	d.Received.Add(1)
	n := d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	m := &marker{ResponseWriter: w, delegator: d, id: r.Header.Get(d.cfg.Headers.RequestID)}
	if r.ContentLength != 0 {
		// The server reads on after the answer to find the next request, but the other VM may have stopped within the body.
		defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout)) }()
	}
	defer func() {
		if m.isNotRun {
			d.RefusedHere.Add(1)
		}
	}()
	if status, detail := d.check(r, n); status != 0 {
		d.logRefusal(r, status, detail)
		refuse(m, status, detail)
		return
	}
	d.handler.ServeHTTP(m, r)
	m.begin()
}

// check returns the status, and why, if the request must be refused; 0 if not. n is the number of requests in flight.
func (d *Delegator) check(r *http.Request, n int64) (status int, detail string) {
	switch {
	case r.Header.Get(Header) == "":
		return http.StatusForbidden, "only other VMs hand requests over here"
	case d.isClosed.Load() || !d.endsInTime(r):
		return http.StatusServiceUnavailable, "this VM stops"
	case n > int64(d.cfg.Limits.Requests):
		return http.StatusServiceUnavailable, "too many requests of other VMs are in flight"
	default:
		return 0, ""
	}
}

// endsInTime reports whether the drain, if there is one, accepts the request by its deadline. A request without one may take
// longer than the stop.
func (d *Delegator) endsInTime(r *http.Request) bool {
	drain := d.drain.Load()
	if drain == nil {
		return true
	}
	ms, err := strconv.ParseFloat(r.Header.Get(d.cfg.Headers.Timeout), 64)
	if err != nil || !(ms > 0 && ms <= maxTimeoutMs) {
		return false
	}
	now := time.Now()
	return drain.Accepts(now, now.Add(time.Duration(ms*float64(time.Millisecond))))
}

// maxTimeoutMs is a time that no stop lasts for.
const maxTimeoutMs = 24 * 60 * 60 * 1000

// logRefusal logs a request that is refused, unless too many were for the same cause.
func (d *Delegator) logRefusal(r *http.Request, status int, cause string) {
	unlogged, mayLog := d.refusalLog.Allow(time.Now(), cause)
	if !mayLog {
		return
	}
	d.log.WithFields(logrus.Fields{
		"request": r.Header.Get(d.cfg.Headers.RequestID), "path": r.URL.Path, "delegatedBy": r.Header.Get(Header),
		"status": status, "cause": cause, "unlogged": unlogged,
	}).Info("request of another VM refused")
}
