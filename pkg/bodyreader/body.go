package bodyreader

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultMaxBytes is the largest body if the configuration sets no limit.
	defaultMaxBytes = 4 << 20
	// firstBytes is the space with which a body of unknown length begins; it doubles as the body grows.
	firstBytes = 4 << 10
	// progressBytes is how much of a body must arrive to count as progress.
	progressBytes = 4 << 10
)

// Read reads a request's body of at most limit bytes, or at most 4 MiB if limit is not positive. The lease holds the body's bytes
// until it is closed, which the caller of Read must do.
//
// The error is a *TooLargeError, a *NoRoomError, a *StalledError, or says that the connection failed; the lease is nil then.
func (b *Reader) Read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *Lease, error) {
	if limit <= 0 {
		limit = defaultMaxBytes
	}
	if r.ContentLength == 0 || r.Body == nil {
		return nil, nil, nil
	}
	if r.ContentLength > limit {
		return nil, nil, &TooLargeError{Limit: limit}
	}
	l := (*Lease)(nil)
	if b != nil {
		l = &Lease{reader: b, w: w}
		b.mu.Lock()
		l.hold = b.core.Open(time.Now(), l)
		b.mu.Unlock()
	}
	body, err := l.read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	if err != nil {
		l.Close()
		return nil, nil, err
	}
	return body, l, nil
}

// read reads a body of this length, negative if it is unknown.
func (l *Lease) read(r io.Reader, length, limit int64) ([]byte, error) {
	body, err := l.readAll(r, length, limit)
	if l != nil {
		if given := l.endRead(); given != nil {
			return nil, given
		}
	}
	tooLarge, noRoom := (*http.MaxBytesError)(nil), (*NoRoomError)(nil)
	switch {
	case errors.As(err, &tooLarge):
		return nil, &TooLargeError{Limit: limit}
	case errors.As(err, &noRoom):
		return nil, err
	}
	return body, errors.Wrap(err, "read body")
}

// readAll reads until the end of the body. Bytes are reserved before the space for them is made.
func (l *Lease) readAll(r io.Reader, length, limit int64) ([]byte, error) {
	size, most := length, length
	if length < 0 {
		size, most = min(firstBytes, limit), limit
	}
	if err := l.Grow(size); err != nil {
		return nil, err
	}
	body, marked := make([]byte, 0, size), 0
	for {
		space := body[len(body):cap(body)]
		switch {
		case len(space) > 0:
		case int64(len(body)) < most:
			var err error
			if body, err = l.widen(body, most); err != nil {
				return nil, err
			}
			continue
		default:
			// All that may come is there: only the end of the body, or an error, can follow.
			space = make([]byte, 1)
		}
		n, err := r.Read(space)
		switch {
		case n > 0 && len(body) == cap(body):
			return nil, &http.MaxBytesError{Limit: limit}
		case errors.Is(err, io.EOF):
			return body[:len(body)+n], nil
		case err != nil:
			return nil, err
		}
		body = body[:len(body)+n]
		if len(body)-marked >= progressBytes {
			marked = len(body)
			l.progress()
		}
	}
}

// widen doubles the space of a body that may have up to most bytes.
func (l *Lease) widen(body []byte, most int64) ([]byte, error) {
	old := int64(cap(body))
	size := min(2*old, most)
	if err := l.Grow(size); err != nil {
		return nil, err
	}
	wider := append(make([]byte, 0, size), body...)
	l.Shrink(old)
	return wider, nil
}
