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

// Paced is a Store whose objects go over the link between regions no faster than a share of it.
//
// Rows are not paced: they are small, and control must never wait behind bulk.
type Paced struct {
	Store

	limit *rate.Limiter
	sent  atomic.Int64
	got   atomic.Int64
}

// NewPaced returns a store without a limit.
func NewPaced(s Store) *Paced {
	return &Paced{Store: s, limit: rate.NewLimiter(rate.Inf, 0)}
}

// SetBytesPerSecond limits the objects' bytes; zero or less lifts the limit.
func (p *Paced) SetBytesPerSecond(n float64) {
	if n <= 0 {
		p.limit.SetLimit(rate.Inf)
		return
	}
	p.limit.SetBurst(max(1, int(n)))
	p.limit.SetLimit(rate.Limit(n))
}

// Bytes returns how many bytes of objects were sent and received.
func (p *Paced) Bytes() (sent, got int64) {
	return p.sent.Load(), p.got.Load()
}

// PutObject stores body under name once what went before it is paid for.
func (p *Paced) PutObject(ctx context.Context, name string, body []byte) error {
	if err := p.settle(ctx); err != nil {
		return err
	}
	p.sent.Add(int64(len(body)))
	p.charge(len(body))
	return p.Store.PutObject(ctx, name, body)
}

// GetObject opens the object once what went before it is paid for; its length is known, and charged, only then.
func (p *Paced) GetObject(ctx context.Context, name string) (io.ReadCloser, error) {
	if err := p.settle(ctx); err != nil {
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
	p.got.Add(int64(len(raw)))
	p.charge(len(raw))
	return io.NopCloser(bytes.NewReader(raw)), nil
}

// Wait returns how long the next object waits for those before it.
//
// A part is larger than what a small share carries in a second, so an object is never held back for its own length,
// which would time out every time, but the ones behind it are.
func (p *Paced) Wait() time.Duration {
	rest := p.limit.Tokens()
	if p.limit.Limit() == rate.Inf || rest >= 0 {
		return 0
	}
	return time.Duration(-rest / float64(p.limit.Limit()) * float64(time.Second))
}

// settle waits until the earlier objects are paid for; nothing was sent when it fails.
func (p *Paced) settle(ctx context.Context) error {
	wait := p.Wait()
	if wait == 0 {
		return nil
	}
	if !pauser.Pause(ctx, wait) {
		return &UnavailableError{Operation: "wait for the link's share", After: wait, Cause: ctx.Err()}
	}
	return nil
}

// charge takes n bytes from the share, in steps of its burst, and lets it go below zero.
func (p *Paced) charge(n int) {
	if p.limit.Limit() == rate.Inf {
		return
	}
	for burst := p.limit.Burst(); n > 0 && burst > 0; n -= burst {
		p.limit.ReserveN(time.Now(), min(n, burst))
	}
}

// WaitOf returns how long the next object of the store waits for the link; only a paced store ever makes one wait.
func WaitOf(s Store) time.Duration {
	switch s := s.(type) {
	case *Paced:
		return s.Wait()
	default:
		return 0
	}
}
