package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/claimer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/forwarder"
)

const maxKeyBytes = 255

// forwardedHeaders are the only headers of a request that are forwarded to plain services.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", requestIDHeader}

// callService handles a call to a plain service. A route that is not declared idempotent requires an Idempotency-Key, and the
// call is executed at most once.
func (s *Server) callService(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["service"]
	service, ok := currentOf(r).Snapshot.Service(name)
	if !ok {
		newProblem(http.StatusNotFound, "unknownService", "Unknown service", "service: "+name+" is not declared").write(w, r)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/services/"+name)
	route, ok := service.Route(r.Method, path)
	if !ok {
		newProblem(http.StatusNotFound, "unknownRoute", "Unknown route",
			r.Method+" "+path+" is no declared route of service "+name).write(w, r)
		return
	}
	key := r.Header.Get(idempotencyKey)
	if !route.IsIdempotent && (key == "" || len(key) > maxKeyBytes) {
		badField(idempotencyKey, key, "send a key of 1 to 255 bytes of your own: this route may not be repeated").write(w, r)
		return
	}
	body, lease, err := s.readBody(w, r, MaxBodyBytes)
	if err == nil {
		err = s.limit(r, 1)
	}
	defer lease.Close()
	if err != nil {
		problemOf(err).write(w, r)
		return
	}
	deadline, problem := deadlineOf(r, route.Timeout)
	if problem != nil {
		problem.write(w, r)
		return
	}
	call := forwarder.Call{
		Account: accountOf(r).Name, Serves: serviceRouteName(name), Tokens: 1, Bytes: len(body),
		Deadline: deadline, IsRepeatable: route.IsIdempotent,
	}
	req := forwarder.ServiceRequest{
		Method: r.Method, Path: path, Query: r.URL.Query(), Header: forwardedHeader(r), Body: body,
	}
	if route.IsIdempotent {
		s.sendRepeatable(w, r, call, req)
		return
	}
	s.sendOnce(w, r, key, call, req)
}

// serviceRouteName returns the name under which the router knows a service; the prefix keeps it apart from models.
func serviceRouteName(service string) string {
	return "service/" + service
}

func forwardedHeader(r *http.Request) http.Header {
	h := http.Header{}
	for _, name := range forwardedHeaders {
		if v := r.Header.Values(name); len(v) > 0 {
			h[name] = v
		}
	}
	h.Set(requestIDHeader, requestID(r))
	return h
}

func (s *Server) sendRepeatable(w http.ResponseWriter, r *http.Request, call forwarder.Call, req forwarder.ServiceRequest) {
	reply, err := s.Dispatcher.Service(r.Context(), s.Pools, call, req)
	if err != nil {
		problemOf(err).write(w, r)
		return
	}
	writeReply(w, claimer.Answer{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body})
}

// sendOnce stores a claim of the idempotency key before it sends the request. The attempt goes on when the caller
// disconnects, because its outcome must be stored.
func (s *Server) sendOnce(
	w http.ResponseWriter, r *http.Request, key string, call forwarder.Call, req forwarder.ServiceRequest,
) {
	var problem *Problem
	out := s.Claims.Run(r.Context(), call.Account, key, fingerprint(r, req), call.Deadline,
		func(ctx context.Context) (claimer.Answer, outcome.Outcome) {
			reply, err := s.Dispatcher.Service(context.WithoutCancel(ctx), s.Pools, call, req)
			if err == nil {
				answer := claimer.Answer{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
				return answer, outcome.Completed{}
			}
			problem = problemOf(err)
			if requestFailed := (*forwarder.RequestFailedError)(nil); errors.As(err, &requestFailed) {
				return claimer.Answer{}, requestFailed.Outcome
			}
			return claimer.Answer{}, outcome.Unknown{Reason: err.Error()}
		})
	switch out := out.(type) {
	case claimer.Replied:
		writeReply(w, out.Answer)
	case claimer.Refused:
		if problem == nil {
			problem = claimProblem(out)
		}
		problem.write(w, r)
	}
}

func fingerprint(r *http.Request, req forwarder.ServiceRequest) string {
	h := sha256.New()
	for _, part := range []string{req.Method, r.URL.Path, r.URL.RawQuery} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

func claimProblem(out claimer.Refused) *Problem {
	status, name := http.StatusServiceUnavailable, "claimUnavailable"
	switch out.Refusal {
	case claimer.RefusedKeyReused:
		status, name = http.StatusUnprocessableEntity, "keyReused"
	case claimer.RefusedInFlight:
		status, name = http.StatusConflict, "inFlight"
	case claimer.RefusedUnknown:
		status, name = http.StatusConflict, "outcomeUnknown"
	}
	p := newProblem(status, name, "Not done", idempotencyKey+": "+string(out.Refusal))
	return p.withRetry(out.RetryAfter).withOutcome(out.Outcome)
}

func writeReply(w http.ResponseWriter, a claimer.Answer) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
