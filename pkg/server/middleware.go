package server

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
)

const (
	requestIDHeader   = "X-Request-Id"
	maxRequestIDBytes = 128
)

type contextKey int

const (
	requestIDKey contextKey = iota
	accountKey
	currentKey
)

func requestID(r *http.Request) string {
	id, _ := r.Context().Value(requestIDKey).(string)
	return id
}

func accountOf(r *http.Request) declarer.Account {
	a, _ := r.Context().Value(accountKey).(declarer.Account)
	return a
}

// currentOf returns the configuration that was active when the request was authenticated. The whole request uses it, even
// if another one becomes active meanwhile.
func currentOf(r *http.Request) *follower.Configuration {
	c, _ := r.Context().Value(currentKey).(*follower.Configuration)
	return c
}

// statusWriter records the response's status for the log, the metrics and the trace.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status and passes it on.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// observe gives every request an id and a trace span, records its metrics and logs it.
func (s *Server) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		startedAt := time.Now()
		id := r.Header.Get(requestIDHeader)
		if id == "" || len(id) > maxRequestIDBytes {
			id = uuid.NewString()
		}
		w.Header().Set(requestIDHeader, id)
		w.Header().Set("Dogwoodledge-VM", s.cfg.VM)
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := otel.Tracer("server").Start(ctx, "entry "+r.Method, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		span.SetAttributes(attribute.String("request.id", id), attribute.String("url.path", r.URL.Path))
		ctx = context.WithValue(ctx, requestIDKey, id)
		sw := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(sw, r.WithContext(ctx))
		span.SetAttributes(attribute.Int("http.response.status_code", sw.status))
		s.requests.observe(ctx, r.URL.Path, sw.status, time.Since(startedAt))
		s.log.WithFields(logrus.Fields{
			"requestId": id, "method": r.Method, "path": r.URL.Path, "status": sw.status,
			"took": time.Since(startedAt).String(),
		}).Info("request")
	})
}

// authenticate looks up the account of the caller's key; it stores the account and the active configuration in the
// request's context.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		current := s.follower.Current()
		if current.Head.Revision == 0 {
			newProblem(http.StatusServiceUnavailable, "notConfigured", "Not configured yet",
				"this VM has no configuration yet: apply one, or ask another VM").withRetry(time.Second).write(w, r)
			return
		}
		account, ok := current.Account(bearer(r))
		if !ok {
			newProblem(http.StatusUnauthorized, "unauthorized", "Unknown key",
				"Authorization: send `Bearer` and a key of a declared account").write(w, r)
			return
		}
		ctx := context.WithValue(r.Context(), accountKey, account)
		ctx = context.WithValue(ctx, currentKey, current)
		trace.SpanFromContext(ctx).SetAttributes(attribute.String("account", account.Name))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func bearer(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// limit refuses the request if its account is over its rate limits; tokens is the request's estimated cost.
func (s *Server) limit(r *http.Request, tokens int) error {
	a := accountOf(r)
	s.limitMu.Lock()
	wait, ok := s.limiter.Allow(time.Now(), a.Name, limitsOf(a), tokens)
	s.limitMu.Unlock()
	if ok {
		return nil
	}
	p := newProblem(http.StatusTooManyRequests, "accountLimit", "Account limit reached",
		"account "+a.Name+" has used its share of limits for now").withRetry(wait)
	return &problemError{problem: p}
}
