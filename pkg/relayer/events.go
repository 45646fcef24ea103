package relayer

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
)

// maxEventBytes is the size limit of one event of a stream.
const maxEventBytes = 1 << 20

// Event is one complete server-sent event of a stream.
type Event struct {
	// Raw holds the event as received, with its closing empty line.
	Raw []byte
	// ID is -1 if the event has none.
	ID int64
	// Data holds the values of the data lines, joined by line feeds.
	Data []byte
}

// EventError says that what an endpoint sent is no event: Line is the start of a line that no event has there.
type EventError struct {
	Line string
}

func (e *EventError) Error() string { return "not an event of a stream: line " + strconv.Quote(e.Line) }

// maxErrorLine is the number of bytes of a line that are put into an error.
const maxErrorLine = 80

// IsProgress reports whether the event carries an id or data. Comments and empty lines keep a connection open, but say nothing
// about the work.
func (e Event) IsProgress() bool { return e.ID >= 0 || e.Data != nil }

// EventReader splits a stream into complete events. Those above unreservedBytes are held within a budget.
type EventReader struct {
	br     *bufio.Reader
	bodies *bodyreader.Reader
	// lease is what is reserved for the last event, which may have up to room bytes.
	lease *bodyreader.Lease
	room  int
}

// NewEventReader returns a reader of the stream's events, which are held within the budget of b; nil for none. Close must be
// called.
func NewEventReader(r io.Reader, b *bodyreader.Reader) *EventReader {
	return &EventReader{br: bufio.NewReaderSize(r, eventBufferBytes), bodies: b, room: unreservedBytes}
}

// Close gives back what is reserved for the last event.
func (r *EventReader) Close() {
	r.lease.Close()
	r.lease, r.room = nil, unreservedBytes
}

// eventCost is how many times its length an event takes: as received, during the copies of its growth, and its data.
const eventCost = 3

// hold makes room for an event of n bytes; the error says that it is too large, or that there is no room.
func (r *EventReader) hold(n int) error {
	if n > maxEventBytes {
		return errors.Errorf("event of more than %d bytes", maxEventBytes)
	}
	for n > r.room {
		var err error
		if cost := int64(eventCost * r.room); r.lease == nil {
			// The bytes that need no reservation otherwise are a part of it now.
			r.lease, err = r.bodies.Reserve(2 * cost)
		} else {
			err = r.lease.Grow(cost)
		}
		if err != nil {
			return errors.Wrapf(err, "event of more than %d bytes", r.room)
		}
		r.room *= 2
	}
	return nil
}

// eventBufferBytes is the size of the read buffer; longer lines are read in several steps.
const eventBufferBytes = 2 << 10

// HasMore reports whether bytes of another event are buffered.
func (r *EventReader) HasMore() bool { return r.br.Buffered() > 0 }

// Next returns the next event, whose bytes are reserved until the next call. It returns io.EOF if the stream ended between
// events, and io.ErrUnexpectedEOF if it ended within one.
func (r *EventReader) Next() (Event, error) {
	r.Close()
	e := Event{ID: -1}
	// An event may begin with one line of a field that is not known here.
	var unknown []byte
	for {
		line, err := r.br.ReadSlice('\n')
		if err := r.hold(len(e.Raw) + len(line)); err != nil {
			return e, err
		}
		e.Raw = append(e.Raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			e.Raw, err = r.readLongLine(e.Raw)
			line = e.Raw[bytes.LastIndexByte(bytes.TrimSuffix(e.Raw, []byte("\n")), '\n')+1:]
		}
		if errors.Is(err, io.EOF) {
			if len(bytes.TrimSpace(e.Raw)) > 0 {
				return e, io.ErrUnexpectedEOF
			}
			return e, io.EOF
		}
		if err != nil {
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, e.check(unknown)
		}
		if !e.parseLine(text) {
			if unknown != nil || e.IsProgress() {
				return e, newEventError(text)
			}
			unknown = bytes.Clone(text)
		}
	}
}

// readLongLine appends the rest of a line that is longer than the read buffer.
func (r *EventReader) readLongLine(raw []byte) ([]byte, error) {
	for {
		more, err := r.br.ReadSlice('\n')
		if err := r.hold(len(raw) + len(more)); err != nil {
			return raw, err
		}
		raw = append(raw, more...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return raw, err
		}
	}
}

// check returns an *EventError if the event has a line of an unknown field and is none otherwise.
func (e *Event) check(unknown []byte) error {
	if unknown == nil || e.IsProgress() {
		return nil
	}
	return newEventError(unknown)
}

func newEventError(line []byte) error {
	return &EventError{Line: string(line[:min(len(line), maxErrorLine)])}
}

// parseLine adds a line to the event; it returns false if no event stream has a field of that name.
func (e *Event) parseLine(text []byte) bool {
	name, value, _ := bytes.Cut(text, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if id, err := strconv.ParseInt(string(value), 10, 64); err == nil && id >= 0 {
			e.ID = id
		}
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		if e.Data == nil {
			e.Data = []byte{}
		}
	case "", "event", "retry":
		// An empty name begins a comment.
	default:
		return false
	}
	return true
}
