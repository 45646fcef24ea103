package relayer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
)

// SetBodies makes the relayer read bodies, and hold answers back, within a budget; without it there is none. It must be called
// before the first request.
func (l *Relayer) SetBodies(b *bodyreader.Reader) { l.bodies = b }

// readBody reads a request's body; the error is ErrStopping if the VM answers what is unanswered meanwhile.
func (l *Relayer) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *bodyreader.Lease, error) {
	outlastEnd := context.AfterFunc(l.ending, func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
	body, lease, err := l.bodies.Read(w, r, l.registry().Config.Limits.BodyBytes)
	if !outlastEnd() {
		lease.Close()
		return nil, nil, ErrStopping
	}
	return body, lease, err
}

// refuseBody refuses a request whose body could not be read; nothing of it was sent to an endpoint.
func (l *Relayer) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	if errors.Is(err, ErrStopping) {
		closeAfterAnswer(w)
		l.RefuseLeaving(w, r)
		return
	}
	status, _ := bodyreader.Status(err)
	l.logRefusal(r, status, err.Error())
	WriteBodyError(w, err)
}

// closeAfterAnswer has the connection closed after the answer. Otherwise the server would wait for the rest of the body first.
func closeAfterAnswer(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// WriteBodyError answers a request whose body could not be read. Its connection is closed.
func WriteBodyError(w http.ResponseWriter, err error) {
	status, retryAfter := bodyreader.Status(err)
	closeAfterAnswer(w)
	if status == http.StatusServiceUnavailable {
		WriteRefusal(w, status, retryAfter, err.Error())
		return
	}
	WriteError(w, status, err.Error())
}

// unreservedBytes is how much of an answer is held back without a reservation.
const unreservedBytes = 4 << 10

// buffer reads an answer of up to maxBufferedBytes into head; the error is io.EOF if it has read all. It sets the lease for what
// is in head. Without room for more, it reads unreservedBytes at most, and the rest is forwarded as it comes.
func (q *request) buffer(head *bytes.Buffer, body io.Reader, lease **bodyreader.Lease) error {
	if _, err := io.CopyN(head, body, unreservedBytes); err != nil {
		return err
	}
	reserved, err := q.bodies.Reserve(maxBufferedBytes)
	if err != nil {
		return nil
	}
	*lease = reserved
	head.Grow(maxBufferedBytes - unreservedBytes)
	_, err = io.CopyN(head, body, maxBufferedBytes-unreservedBytes)
	return err
}
