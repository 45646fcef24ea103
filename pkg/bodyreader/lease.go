package bodyreader

import (
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/budgeter"
)

// Lease is the part of the budget that is held for one request. A nil Lease holds nothing.
type Lease struct {
	reader *Reader
	hold   *budgeter.Hold
	w      http.ResponseWriter

	mu sync.Mutex
	// isRead says that the read of the body has ended, so that an interrupt would hit the connection's next request.
	isRead bool
	// err is why the hold was given up.
	err error
}

// Reserve returns a lease of n bytes for something else than a body, or a *NoRoomError.
func (b *Reader) Reserve(n int64) (*Lease, error) {
	if b == nil {
		return nil, nil
	}
	l := &Lease{reader: b, isRead: true}
	b.mu.Lock()
	l.hold = b.core.OpenComplete(time.Now())
	b.mu.Unlock()
	if err := b.reserve(l, n); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Grow adds n bytes to the lease, or returns a *NoRoomError.
func (l *Lease) Grow(n int64) error {
	if l == nil {
		return nil
	}
	return l.reader.reserve(l, n)
}

// Shrink gives n bytes of the lease back.
func (l *Lease) Shrink(n int64) {
	if l == nil {
		return
	}
	l.reader.mu.Lock()
	defer l.reader.mu.Unlock()
	l.reader.core.Release(l.hold, n)
}

// Close gives all bytes of the lease back; it may be called again.
func (l *Lease) Close() {
	if l == nil {
		return
	}
	l.reader.mu.Lock()
	defer l.reader.mu.Unlock()
	l.reader.core.Close(time.Now(), l.hold)
}

// interrupt ends the read of the body, which returns err.
func (l *Lease) interrupt(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err = err
	}
	if !l.isRead {
		_ = http.NewResponseController(l.w).SetReadDeadline(time.Unix(1, 0))
	}
}

// reason returns why the hold was given up; nil if it was not.
func (l *Lease) reason() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// progress records that the body has made progress.
func (l *Lease) progress() {
	if l == nil {
		return
	}
	l.reader.mu.Lock()
	defer l.reader.mu.Unlock()
	l.reader.core.Progress(time.Now(), l.hold)
}

// endRead records that the read of the body has ended, and returns why the hold was given up; nil if it was not.
func (l *Lease) endRead() error {
	l.mu.Lock()
	l.isRead = true
	l.mu.Unlock()
	l.reader.mu.Lock()
	isKept := l.reader.core.Complete(l.hold)
	l.reader.mu.Unlock()
	if isKept {
		return nil
	}
	if err := l.reason(); err != nil {
		return err
	}
	// The one who gives the hold up has not yet said why.
	return &NoRoomError{RetryAfter: shedRetryAfter, WasIncomplete: true}
}
