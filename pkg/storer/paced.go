package storer

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
)

// Paced is a Store that limits the rate of object bytes to a share of the link between regions.
//
// Rows are not limited: they are small, and control traffic must never wait behind bulk transfers.
type Paced struct {
	Store

	limit    *rate.Limiter
	sent     atomic.Int64
	received atomic.Int64
}

// NewPaced returns a Paced over s without a limit.
func NewPaced(s Store) *Paced {
	return &Paced{Store: s, limit: rate.NewLimiter(rate.Inf, 0)}
}

// SetBytesPerSecond limits the transfer of objects to n bytes per second; zero or less removes the limit.
func (p *Paced) SetBytesPerSecond(n float64) {
	if n <= 0 {
		p.limit.SetLimit(rate.Inf)
		return
	}
	p.limit.SetBurst(max(1, int(n)))
	p.limit.SetLimit(rate.Limit(n))
}

// Bytes returns how many bytes of objects were sent and received so far.
func (p *Paced) Bytes() (sent, received int64) {
	return p.sent.Load(), p.received.Load()
}

// PutObject stores body under name once the bytes of earlier objects are within the rate limit.
func (p *Paced) PutObject(ctx context.Context, name string, body []byte) error {
	if err := p.awaitShare(ctx); err != nil {
		return err
	}
	p.sent.Add(int64(len(body)))
	p.charge(len(body))
	return p.Store.PutObject(ctx, name, body)
}

// GetObject reads the object once the bytes of earlier objects are within the rate limit.
//
// Its length is known only after the read and is charged then.
func (p *Paced) GetObject(ctx context.Context, name string) (io.ReadCloser, error) {
	if err := p.awaitShare(ctx); err != nil {
		return nil, err
	}
	body, err := p.Store.GetObject(ctx, name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	raw, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	p.received.Add(int64(len(raw)))
	p.charge(len(raw))
	return io.NopCloser(bytes.NewReader(raw)), nil
}

// Wait returns how long the next object waits for the objects before it.
//
// An object does not wait for its own length, only those after it do: a part of a file is larger than what a small
// share carries in a second, so such a wait would time out every time.
func (p *Paced) Wait() time.Duration {
	tokens := p.limit.Tokens()
	if p.limit.Limit() == rate.Inf || tokens >= 0 {
		return 0
	}
	return time.Duration(-tokens / float64(p.limit.Limit()) * float64(time.Second))
}

// awaitShare waits until the bytes of earlier objects are within the rate limit; nothing was sent when it fails.
func (p *Paced) awaitShare(ctx context.Context) error {
	wait := p.Wait()
	if wait == 0 {
		return nil
	}
	if !pauser.Pause(ctx, wait) {
		return &UnavailableError{Operation: "wait for the link's share", After: wait, Cause: ctx.Err()}
	}
	return nil
}

// charge takes n bytes from the limiter in steps of its burst, and lets its balance go below zero.
func (p *Paced) charge(n int) {
	if p.limit.Limit() == rate.Inf {
		return
	}
	for burst := p.limit.Burst(); n > 0 && burst > 0; n -= burst {
		p.limit.ReserveN(time.Now(), min(n, burst))
	}
}

// WaitOf returns how long the next object of s waits for the link: zero unless s is a *Paced.
func WaitOf(s Store) time.Duration {
	switch s := s.(type) {
	case *Paced:
		return s.Wait()
	default:
		return 0
	}
}
