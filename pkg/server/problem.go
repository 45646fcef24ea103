package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/forwarder"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	outcomeHeader  = "Dogwoodledge-Outcome"
	problemType    = "application/problem+json"
	storeRetry     = 5 * time.Second
	problemBaseURI = "urn:dogwoodledge:problem:"
)

// Problem is the body of every error response (RFC 9457); Field, Value and Remedy are set when one field is invalid.
//
// Error repeats the detail in the member that clients of the published chat API read.
type Problem struct {
	Type       string       `json:"type"`
	Title      string       `json:"title"`
	Status     int          `json:"status"`
	Detail     string       `json:"detail"`
	Instance   string       `json:"instance,omitempty"`
	Outcome    string       `json:"outcome"`
	Field      string       `json:"field,omitempty"`
	Value      string       `json:"value,omitempty"`
	Remedy     string       `json:"remedy,omitempty"`
	RetryAfter int          `json:"retryAfter,omitempty"`
	Error      ProblemError `json:"error"`

	retryAfter time.Duration
}

// ProblemError is the error object of the published chat API.
type ProblemError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code"`
}

// newProblem returns a problem with the outcome NotRun: nothing of the request was executed.
func newProblem(status int, name, title, detail string) *Problem {
	return &Problem{
		Type: problemBaseURI + name, Title: title, Status: status, Detail: detail, Outcome: outcome.Name(outcome.NotRun{}),
	}
}

// badField returns a problem that names an invalid field of the request.
func badField(field, value, remedy string) *Problem {
	p := newProblem(http.StatusBadRequest, "invalidField", "Invalid field", field+": "+remedy)
	p.Field, p.Value, p.Remedy = field, value, remedy
	return p
}

func (p *Problem) withRetry(after time.Duration) *Problem {
	p.retryAfter = after
	return p
}

func (p *Problem) withOutcome(o outcome.Outcome) *Problem {
	p.Outcome = outcome.Name(o)
	return p
}

// finish sets the fields that are derived from others, and the request's id.
func (p *Problem) finish(requestID string) {
	p.Instance = requestID
	if p.retryAfter > 0 {
		p.RetryAfter = int(math.Ceil(p.retryAfter.Seconds()))
	}
	p.Error = ProblemError{
		Message: p.Detail, Type: "dogwoodledge_error", Param: p.Field, Code: p.Type[len(problemBaseURI):],
	}
}

// write sends the problem as the complete response.
func (p *Problem) write(w http.ResponseWriter, r *http.Request) {
	p.finish(requestID(r))
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	w.Header().Set(outcomeHeader, p.Outcome)
	w.Header().Set("Content-Type", problemType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// problemOf maps an error to the problem that the caller receives.
func problemOf(err error) *Problem {
	var (
		requestFailed *forwarder.RequestFailedError
		rejected      *forwarder.RejectedError
		unavailable   *storer.UnavailableError
		notFound      *archiver.NotFoundError
		badLine       *archiver.LineError
		otherJob      *archiver.OtherJobError
		problem       *problemError
	)
	switch {
	case errors.As(err, &problem):
		return problem.problem
	case errors.As(err, &requestFailed):
		return requestFailedProblem(requestFailed)
	case errors.As(err, &rejected):
		return newProblem(rejected.Status, "rejected", "Rejected by the model", rejected.Text)
	case errors.As(err, &unavailable):
		return unavailableProblem(unavailable)
	case errors.As(err, &notFound):
		return newProblem(http.StatusNotFound, "notFound", "Not found", notFound.Error())
	case errors.As(err, &badLine):
		p := badField(badLine.Field, badLine.Value, badLine.Error())
		p.Remedy = badLine.Remedy
		return p
	case errors.As(err, &otherJob):
		return newProblem(http.StatusUnprocessableEntity, "keyReused", "Key used already", otherJob.Error())
	default:
		return newProblem(http.StatusInternalServerError, "internal", "Internal error", err.Error()).withOutcome(outcome.Unknown{})
	}
}

func requestFailedProblem(e *forwarder.RequestFailedError) *Problem {
	var none *forwarder.NoEndpointError
	var quarantined *forwarder.QuarantinedError
	status, name, title := http.StatusServiceUnavailable, "overloaded", "No capacity in time"
	if errors.As(e.Cause, &none) {
		name, title = "noEndpoint", "No endpoint"
	}
	if errors.As(e.Cause, &quarantined) {
		name, title = "quarantined", "Prompts like this end endpoints"
	}
	if _, ok := e.Outcome.(outcome.Unknown); ok {
		status, name, title = http.StatusBadGateway, "attemptFailed", "Attempt failed"
	}
	return newProblem(status, name, title, e.Cause.Error()).withRetry(e.RetryAfter).withOutcome(e.Outcome)
}

func unavailableProblem(e *storer.UnavailableError) *Problem {
	p := newProblem(http.StatusServiceUnavailable, "storeUnavailable", "Store unavailable", e.Error()).withRetry(storeRetry)
	if e.MayHaveRun {
		p.withOutcome(outcome.Unknown{})
	}
	return p
}

// problemError wraps a problem as an error.
type problemError struct {
	problem *Problem
}

// Error returns the problem's detail.
func (e *problemError) Error() string { return e.problem.Detail }
