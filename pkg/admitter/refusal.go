package admitter

import (
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/authenticator"
)

// Refusal says why a request was not admitted. Nothing of it was sent to an endpoint by the call that returned it.
type Refusal struct {
	// Cause is what the caller and the log are told.
	Cause string
	// RetryAfter is when the caller may try again; it is not set for a key that is not known.
	RetryAfter time.Duration

	// outcome names the cause in the metrics.
	outcome string
	// isUnavailable says that another VM may admit the request, isExcess that a later one may be admitted.
	isUnavailable, isExcess bool
	fields                  logrus.Fields
}

// Status returns the HTTP status of the answer.
func (r *Refusal) Status() int {
	switch {
	case r.isUnavailable:
		return http.StatusServiceUnavailable
	case r.isExcess:
		return http.StatusTooManyRequests
	default:
		return http.StatusUnauthorized
	}
}

// refusalOf returns the refusal for a decision; nil if the request is admitted.
func refusalOf(d authenticator.Decision) *Refusal {
	switch d.(type) {
	case authenticator.Unknown:
		return &Refusal{Cause: "the key is missing or belongs to no account", outcome: "unknown key"}
	case authenticator.Stale:
		return &Refusal{
			Cause: "this VM can't know whether the key is still valid", RetryAfter: staleRetryAfter, outcome: "stale", isUnavailable: true,
		}
	default:
		return nil
	}
}

// TokenRoom describes what a refused job would have needed, and what its account has.
type TokenRoom struct {
	Route                string
	Cap, Waiting, Tokens int64
	RetryAfter           time.Duration
}

const (
	// linesPerSecond and lineBurst bound the log lines of one cause: a caller that repeats a wrong key must not displace others'
	// lines.
	linesPerSecond = 5
	lineBurst      = 20
)

// refusalLog logs refusals, a bounded number of lines a second for each cause.
type refusalLog struct {
	log logrus.FieldLogger

	mu     sync.Mutex
	causes map[string]*causeLog
}

type causeLog struct {
	limit *rate.Limiter
	// dropped is the number of refusals since the last line.
	dropped int
}

func newRefusalLog(log logrus.FieldLogger) *refusalLog {
	return &refusalLog{log: log, causes: map[string]*causeLog{}}
}

func (l *refusalLog) write(cause string, fields logrus.Fields) {
	l.mu.Lock()
	c, ok := l.causes[cause]
	if !ok {
		c = &causeLog{limit: rate.NewLimiter(linesPerSecond, lineBurst)}
		l.causes[cause] = c
	}
	isLogged := c.limit.Allow()
	if isLogged && c.dropped > 0 {
		fields["unlogged"] = c.dropped
		c.dropped = 0
	} else if !isLogged {
		c.dropped++
	}
	l.mu.Unlock()
	if isLogged {
		l.log.WithFields(fields).Info("request refused")
	}
}
