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

	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/encoder"
)

const (
	maxResumes = 2
	stallAfter = 5 * time.Second
)

// StalledError says that a stream brought nothing for too long.
type StalledError struct {
	For time.Duration
}

// Error says how long.
func (e *StalledError) Error() string {
	return "engine sent nothing for " + e.For.String()
}

// Piece is new text for the caller; Event is the engine's event that brought it.
type Piece struct {
	Text  string
	Event encoder.Event
}

// Sink takes the pieces of an answer as they come; an error ends the request.
type Sink func(Piece) error

// RejectedError says that an engine turned the request itself down, as every other engine would.
type RejectedError struct {
	Status int
	Text   string
}

// Error gives the engine's words.
func (e *RejectedError) Error() string {
	return "engine rejected the request with status " + strconv.Itoa(e.Status) + ": " + e.Text
}

// DivergedError says that another engine's answer does not continue the text already sent.
type DivergedError struct {
	SentBytes int
}

// Error says how much was sent.
func (e *DivergedError) Error() string {
	return "another engine's answer does not continue the " + strconv.Itoa(e.SentBytes) + " bytes already sent"
}

// sinkError marks an error of the caller's side.
type sinkError struct{ error }

func (e sinkError) Unwrap() error { return e.error }

// Stream is one chat request at one engine, which may be resumed there.
type Stream struct {
	ID       string
	Address  netip.AddrPort
	Body     []byte
	Answer   Answer
	IsLeaver bool

	pools     *Pools
	client    *http.Client
	stall     *time.Timer
	isStarted bool
	startedAt time.Time
	firstAt   time.Time
	lastAt    time.Time
	maxGap    time.Duration
}

// NewStream returns a stream that has not begun.
func NewStream(pools *Pools, client *http.Client, id string, addr netip.AddrPort, body []byte) *Stream {
	return &Stream{ID: id, Address: addr, Body: body, pools: pools, client: client}
}

// Run starts the stream, or takes it up behind its last token, until its end.
//
// A nil error with outcome Completed means that the answer is whole. Errors: *RejectedError with Completed, the
// sink's own error, or what broke the stream.
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
	s.stall = time.AfterFunc(stallAfter, func() { cancel(&StalledError{For: stallAfter}) })
	defer s.stall.Stop()
	x := &exchange{client: s.client}
	res, err := s.open(ctx, x)
	s.IsLeaver = x.isLeaving
	if err != nil {
		return s.worst(x.failed(err)), errors.Wrap(causeOf(ctx, err), "reach engine")
	}
	defer func() { _ = res.Body.Close() }()
	if o, err := s.checkStatus(res); err != nil {
		return s.worst(o), err
	}
	s.isStarted = true
	if err := s.read(res.Body, sink); err != nil {
		return outcome.Unknown{Reason: err.Error()}, causeOf(ctx, err)
	}
	return outcome.Completed{}, nil
}

// causeOf prefers the reason for which the context ended to the error that its end brought about.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// worst keeps an attempt that may have run from being called NotRun after a failed resume.
func (s *Stream) worst(o outcome.Outcome) outcome.Outcome {
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
		isNew, err := s.Answer.Take(ev)
		if err != nil {
			failed = err
			return false
		}
		if !isNew {
			return !s.Answer.IsDone
		}
		s.stall.Reset(stallAfter)
		s.time(time.Now())
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
	case !s.Answer.IsWhole():
		return errors.Errorf("answer ended after %d tokens without its end", s.Answer.Offset)
	}
	return nil
}

func contentOf(ev encoder.Event) string {
	text := ""
	for _, c := range ev.Chunk.Choices {
		text += c.Delta.Content
	}
	return text
}

func (s *Stream) time(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
	} else {
		s.maxGap = max(s.maxGap, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// Report returns what was observed, for the keeper.
func (s *Stream) Report(isFailed bool) keeper.Report {
	r := keeper.Report{Tokens: s.Answer.Offset, Took: time.Since(s.startedAt), IsFailed: isFailed}
	if !s.firstAt.IsZero() {
		r.FirstToken = s.firstAt.Sub(s.startedAt)
	}
	if s.Answer.Offset > 1 {
		r.TokenGap = s.lastAt.Sub(s.firstAt) / time.Duration(s.Answer.Offset-1)
	}
	return r
}

// Stop ends the stream at its engine.
func (s *Stream) Stop(isKept bool) {
	s.pools.StopStream(s.Address, s.ID, isKept)
}

// continuation lets through only what goes beyond the text that the caller has already.
type continuation struct {
	sent string
	seen strings.Builder
	sink Sink
}

// take passes on new text, or fails when the answer diverges from what was sent.
func (c *continuation) take(p Piece) error {
	before := c.seen.Len()
	c.seen.WriteString(p.Text)
	known := min(c.seen.Len(), len(c.sent))
	if c.seen.String()[:known] != c.sent[:known] {
		return &DivergedError{SentBytes: len(c.sent)}
	}
	if c.seen.Len() <= len(c.sent) && p.Event.Chunk.Usage == nil {
		return nil
	}
	p.Text = p.Text[max(0, min(len(p.Text), len(c.sent)-before)):]
	return c.sink(p)
}
