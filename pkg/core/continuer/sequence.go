package continuer

import "strconv"

// NoEvent is the id of the last event before the first one, and that of an event without an id.
const NoEvent int64 = -1

// GapError says that an event does not follow the one before it; Event is NoEvent if it has no id.
type GapError struct {
	After, Event int64
}

func (e *GapError) Error() string {
	if e.Event == NoEvent {
		return "gap in the event stream: an event without an id follows event " + strconv.FormatInt(e.After, 10)
	}
	return "gap in the event stream: event " + strconv.FormatInt(e.Event, 10) + " follows event " + strconv.FormatInt(e.After, 10)
}

// Sequence checks that the events of an output follow each other, over all answers that bring them. Within an answer ids increase.
// What two answers bring is joined only where the second one starts with the event after the last one of the first.
type Sequence struct {
	last int64
	// isJoin says that the next event is the first of an answer that continues another one.
	isJoin bool
	// hasUnnumbered says that an event without an id has come: the end of the output can't be named to another endpoint.
	hasUnnumbered bool
}

// NewSequence returns the sequence of an output whose events up to last are there.
func NewSequence(last int64) Sequence { return Sequence{last: last} }

// Last returns the id of the last event, or NoEvent.
func (s *Sequence) Last() int64 { return s.last }

// CanResume reports whether another answer can continue after Last.
func (s *Sequence) CanResume() bool { return !s.hasUnnumbered }

// Begin records that an answer begins, which brings the events that are added next.
func (s *Sequence) Begin() { s.isJoin = s.last != NoEvent }

// Add records an event with the id, or returns a *GapError.
func (s *Sequence) Add(id int64) error {
	if s.isJoin && id != s.last+1 || id != NoEvent && id <= s.last {
		return &GapError{After: s.last, Event: id}
	}
	s.isJoin = false
	if id == NoEvent {
		s.hasUnnumbered = true
		return nil
	}
	s.last = id
	return nil
}
