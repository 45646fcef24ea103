package storer

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"
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

// PutObject stores body under name once the pace allows it.
func (p *Paced) PutObject(ctx context.Context, name string, body []byte) error {
	if err := p.pace(ctx, len(body)); err != nil {
		return err
	}
	p.sent.Add(int64(len(body)))
	return p.Store.PutObject(ctx, name, body)
}

// GetObject opens the object and charges its length to what comes after it, for it is not known before.
func (p *Paced) GetObject(ctx context.Context, name string) (io.ReadCloser, error) {
	if err := p.pace(ctx, 1); err != nil {
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
	return io.NopCloser(bytes.NewReader(raw)), p.pace(ctx, len(raw))
}

// pace waits for n bytes, a burst at a time.
func (p *Paced) pace(ctx context.Context, n int) error {
	for n > 0 && p.limit.Limit() != rate.Inf {
		step := min(n, p.limit.Burst())
		if err := p.limit.WaitN(ctx, step); err != nil {
			return &UnavailableError{Operation: "wait for the link's pace", Cause: err}
		}
		n -= step
	}
	return nil
}
