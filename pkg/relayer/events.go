package relayer

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// Event is one whole event of a stream.
type Event struct {
	// Raw is the event with its closing empty line.
	Raw []byte
	// ID is -1 where the event has none.
	ID int64
	// Data is the value of its data lines.
	Data []byte
}

// EventReader reads whole events.
type EventReader struct {
	br *bufio.Reader
}

// NewEventReader returns a reader of the stream's events.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{br: bufio.NewReaderSize(r, eventBuffer)}
}

const eventBuffer = 2 << 10

// HasMore says whether bytes of another event have arrived.
func (r *EventReader) HasMore() bool { return r.br.Buffered() > 0 }

// Next returns the next event; io.EOF says that the stream ended between events.
func (r *EventReader) Next() (Event, error) {
	e := Event{ID: -1}
	for {
		line, err := r.br.ReadSlice('\n')
		if len(e.Raw)+len(line) > maxEvent {
			return e, errors.Errorf("event of more than %d bytes", maxEvent)
		}
		e.Raw = append(e.Raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			e.Raw, err = r.readLong(e.Raw)
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
			return e, nil
		}
		e.takeLine(text)
	}
}

func (r *EventReader) readLong(raw []byte) ([]byte, error) {
	for {
		more, err := r.br.ReadSlice('\n')
		raw = append(raw, more...)
		if len(raw) > maxEvent {
			return raw, errors.Errorf("event of more than %d bytes", maxEvent)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return raw, err
		}
	}
}

func (e *Event) takeLine(text []byte) {
	name, value, _ := bytes.Cut(text, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if id, err := strconv.ParseInt(string(value), 10, 64); err == nil {
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
	}
}
