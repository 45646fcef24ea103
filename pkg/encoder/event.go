package encoder

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
)

// MaxEventBytes bounds one event of a stream.
const MaxEventBytes = 1 << 20

// Event is one event of a streamed answer. Offset is the number of tokens sent up to and including it; IsDone marks the event
// that ends the stream.
type Event struct {
	Offset int
	Chunk  Chunk
	IsDone bool
}

// WriteEvent writes one chunk with its offset in tokens.
func WriteEvent(w io.Writer, offset int, chunk any) error {
	raw, err := json.Marshal(chunk)
	if err != nil {
		return errors.Wrap(err, "encode chunk")
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, raw)
	return err
}

// WriteDone writes the event that ends a complete stream.
func WriteDone(w io.Writer) error {
	_, err := io.WriteString(w, "data: "+DoneMarker+"\n\n")
	return err
}

// WriteError writes an error event; the stream then ends without its end marker.
func WriteError(w io.Writer, problem any) error {
	raw, err := json.Marshal(struct {
		Error any `json:"error"`
	}{problem})
	if err != nil {
		return errors.Wrap(err, "encode error event")
	}
	_, err = fmt.Fprintf(w, "event: error\ndata: %s\n\n", raw)
	return err
}

// ReadEvents calls visit for each event of r until visit returns false or the stream ends.
//
// Errors: the reader's own, or a syntax error of a chunk. A stream that ends early is not an error here, because only the
// code that collects the answer knows whether it is complete.
func ReadEvents(r io.Reader, visit func(Event) bool) error {
	for raw, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: MaxEventBytes}) {
		if err != nil {
			return errors.Wrap(err, "read event stream")
		}
		ev, err := parseEvent(raw)
		if err != nil {
			return err
		}
		if !visit(ev) {
			return nil
		}
	}
	return nil
}

func parseEvent(raw sse.Event) (Event, error) {
	if raw.Data == DoneMarker {
		return Event{IsDone: true}, nil
	}
	ev := Event{}
	if raw.LastEventID != "" {
		n, err := strconv.Atoi(raw.LastEventID)
		if err != nil || n < 0 {
			return ev, errors.Errorf("event id %q is not an offset in tokens", raw.LastEventID)
		}
		ev.Offset = n
	}
	return ev, errors.Wrap(json.Unmarshal([]byte(raw.Data), &ev.Chunk), "decode chunk")
}
