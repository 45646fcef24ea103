package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/encoder"
)

const (
	maxResumes   = 2
	stallTimeout = 5 * time.Second
)

// StalledError says that no new event was received from a stream for the duration For.
type StalledError struct {
	For time.Duration
}

// Error gives the duration.
func (e *StalledError) Error() string {
	return "engine sent nothing for " + e.For.String()
}

// Piece is new text for the caller; Event is the engine's event that contains it.
type Piece struct {
	Text  string
	Event encoder.Event
}

// Sink receives the pieces of an answer as they arrive; an error ends the request.
type Sink func(Piece) error

// RejectedError says that an engine rejected the request itself, so that every other engine would reject it, too.
type RejectedError struct {
	Status int
	Text   string
}

// Error gives the engine's status and error text.
func (e *RejectedError) Error() string {
	return "engine rejected the request with status " + strconv.Itoa(e.Status) + ": " + e.Text
}

// DivergedError says that another engine's answer does not continue the text already sent.
type DivergedError struct {
	SentBytes int
}

// Error gives the number of bytes sent.
func (e *DivergedError) Error() string {
	return "another engine's answer does not continue the " + strconv.Itoa(e.SentBytes) + " bytes already sent"
}

// sinkError marks an error of the sink: the answer could not be written to the caller.
type sinkError struct{ error }

func (e sinkError) Unwrap() error { return e.error }

// Stream is one chat request at one engine; if its connection breaks, it can be resumed there.
type Stream struct {
	ID                string
	Address           netip.AddrPort
	Body              []byte
	Answer            Answer
	IsEndpointLeaving bool

	pools      *Pools
	client     *http.Client
	stallTimer *time.Timer
	isStarted  bool
	startedAt  time.Time
	firstAt    time.Time
	lastAt     time.Time
	maxGap     time.Duration
}

// NewStream returns a stream that has not been started.
func NewStream(pools *Pools, client *http.Client, id string, addr netip.AddrPort, body []byte) *Stream {
	return &Stream{ID: id, Address: addr, Body: body, pools: pools, client: client}
}

// Run starts the stream, or resumes it after the last token received, and reads it to its end.
//
// A nil error with outcome Completed means that the answer is complete. Errors: *RejectedError with Completed, the
// sink's own error, or the failure that broke the stream.
func (s *Stream) Run(ctx context.Context, sink Sink) (outcome.Outcome, error) {
	s.startedAt = time.Now()
	for resumes := 0; ; resumes++ {
		o, err := s.runOnce(ctx, sink)
		callerGone := sinkError{}
		isOver := err == nil || ctx.Err() != nil || errors.As(err, &callerGone) || resumes == maxResumes
		if rejected := (*RejectedError)(nil); isOver || errors.As(err, &rejected) {
			return o, err
		}
		if _, isUnknown := o.(outcome.Unknown); !isUnknown || s.Answer.Offset == 0 {
			return o, err
		}
	}
}

func (s *Stream) runOnce(ctx context.Context, sink Sink) (outcome.Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.stallTimer = time.AfterFunc(stallTimeout, func() { cancel(&StalledError{For: stallTimeout}) })
	defer s.stallTimer.Stop()
	x := &exchange{client: s.client}
	res, err := s.open(ctx, x)
	s.IsEndpointLeaving = x.isLeaving
	if err != nil {
		return s.unknownIfStarted(x.failureOutcome(err)), errors.Wrap(causeOf(ctx, err), "reach engine")
	}
	defer func() { _ = res.Body.Close() }()
	if o, err := s.checkStatus(res); err != nil {
		return s.unknownIfStarted(o), err
	}
	s.isStarted = true
	if err := s.read(res.Body, sink); err != nil {
		return outcome.Unknown{Reason: err.Error()}, causeOf(ctx, err)
	}
	return outcome.Completed{}, nil
}

// causeOf returns why the context was cancelled, since err then only results from that; otherwise it returns err.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// unknownIfStarted turns NotRun into Unknown for a started stream: a refused resume doesn't mean that the request hasn't run.
func (s *Stream) unknownIfStarted(o outcome.Outcome) outcome.Outcome {
	if notRun, ok := o.(outcome.NotRun); ok && s.isStarted {
		return outcome.Unknown{Reason: notRun.Reason}
	}
	return o
}

func (s *Stream) open(ctx context.Context, x *exchange) (*http.Response, error) {
	if s.isStarted {
		q := url.Values{"offset": {strconv.Itoa(s.Answer.Offset)}, "model": {s.Answer.First.Model}}
		return x.send(ctx, http.MethodGet, endpointURL(s.Address, "/v1/streams/"+url.PathEscape(s.ID), q), nil, nil)
	}
	header := http.Header{"Content-Type": {"application/json"}, streamHeader: {s.ID}}
	return x.send(ctx, http.MethodPost, endpointURL(s.Address, "/v1/chat/completions", nil), header, s.Body)
}

func (s *Stream) checkStatus(res *http.Response) (outcome.Outcome, error) {
	if res.StatusCode == http.StatusOK {
		return nil, nil
	}
	text := readError(res)
	if o, ok := refusal(res); ok {
		return o, errors.Errorf("engine refused: %s", text)
	}
	if res.StatusCode >= http.StatusInternalServerError || s.isStarted {
		return outcome.Unknown{Reason: text}, errors.Errorf("engine answered status %d: %s", res.StatusCode, text)
	}
	return outcome.Completed{}, &RejectedError{Status: res.StatusCode, Text: text}
}

func (s *Stream) read(body io.Reader, sink Sink) error {
	var failed error
	err := encoder.ReadEvents(body, func(ev encoder.Event) bool {
		isNew, err := s.Answer.Add(ev)
		if err != nil {
			failed = err
			return false
		}
		if !isNew {
			return !s.Answer.IsDone
		}
		s.stallTimer.Reset(stallTimeout)
		s.recordArrival(time.Now())
		if err := sink(Piece{Text: contentOf(ev), Event: ev}); err != nil {
			failed = sinkError{err}
			return false
		}
		return true
	})
	switch {
	case failed != nil:
		return failed
	case err != nil:
		return err
	case !s.Answer.IsComplete():
		return errors.Errorf("answer ended after %d tokens without its end", s.Answer.Offset)
	}
	return nil
}

// contentOf returns the text of all choices of an event.
func contentOf(ev encoder.Event) string {
	text := ""
	for _, c := range ev.Chunk.Choices {
		text += c.Delta.Content
	}
	return text
}

// recordArrival records when a token arrived.
func (s *Stream) recordArrival(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
	} else {
		s.maxGap = max(s.maxGap, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// Report returns the observed tokens and times, for the endpoint's slot allocator.
func (s *Stream) Report(isFailed bool) allocator.Report {
	r := allocator.Report{Tokens: s.Answer.Offset, Took: time.Since(s.startedAt), IsFailed: isFailed}
	if !s.firstAt.IsZero() {
		r.FirstToken = s.firstAt.Sub(s.startedAt)
	}
	if s.Answer.Offset > 1 {
		r.TokenGap = s.lastAt.Sub(s.firstAt) / time.Duration(s.Answer.Offset-1)
	}
	return r
}

// Stop cancels the stream at its engine; if isKept is set, the engine suspends it and keeps its tokens.
func (s *Stream) Stop(isKept bool) {
	s.pools.StopStream(s.Address, s.ID, isKept)
}

// continuation forwards only the text beyond what earlier attempts have sent to the caller.
type continuation struct {
	sent     string
	received strings.Builder
	sink     Sink
}

// forward passes on new text; it fails with a *DivergedError if the answer differs from the text already sent.
func (c *continuation) forward(p Piece) error {
	before := c.received.Len()
	c.received.WriteString(p.Text)
	known := min(c.received.Len(), len(c.sent))
	if c.received.String()[:known] != c.sent[:known] {
		return &DivergedError{SentBytes: len(c.sent)}
	}
	if c.received.Len() <= len(c.sent) && p.Event.Chunk.Usage == nil {
		return nil
	}
	p.Text = p.Text[max(0, min(len(p.Text), len(c.sent)-before)):]
	return c.sink(p)
}
