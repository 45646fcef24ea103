package storer

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

// RateLimitedStore is a Store that limits the rate of object bytes to a share of the link between regions.
//
// Rows are not limited: they are small, and control traffic must never wait behind bulk transfers.
type RateLimitedStore struct {
	Store

	limit    *rate.Limiter
	sent     atomic.Int64
	received atomic.Int64
}

// NewRateLimitedStore returns a RateLimitedStore over s without a limit.
func NewRateLimitedStore(s Store) *RateLimitedStore {
	return &RateLimitedStore{Store: s, limit: rate.NewLimiter(rate.Inf, 0)}
}

// SetBytesPerSecond limits the transfer of objects to n bytes per second; zero or less removes the limit.
func (s *RateLimitedStore) SetBytesPerSecond(n float64) {
	if n <= 0 {
		s.limit.SetLimit(rate.Inf)
		return
	}
	s.limit.SetBurst(max(1, int(n)))
	s.limit.SetLimit(rate.Limit(n))
}

// Bytes returns how many bytes of objects were sent and received so far.
func (s *RateLimitedStore) Bytes() (sent, received int64) {
	return s.sent.Load(), s.received.Load()
}

// PutObject stores body under name once the bytes of earlier objects are within the rate limit.
func (s *RateLimitedStore) PutObject(ctx context.Context, name string, body []byte) error {
	if err := s.awaitShare(ctx); err != nil {
		return err
	}
	s.sent.Add(int64(len(body)))
	s.charge(len(body))
	return s.Store.PutObject(ctx, name, body)
}

// GetObject reads the object once the bytes of earlier objects are within the rate limit.
//
// Its length is known only after the read and is charged then.
func (s *RateLimitedStore) GetObject(ctx context.Context, name string) (io.ReadCloser, error) {
	if err := s.awaitShare(ctx); err != nil {
		return nil, err
	}
	body, err := s.Store.GetObject(ctx, name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	raw, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	s.received.Add(int64(len(raw)))
	s.charge(len(raw))
	return io.NopCloser(bytes.NewReader(raw)), nil
}

// Wait returns how long the next object waits for the objects before it.
//
// An object does not wait for its own length, only those after it do: a part of a file is larger than what a small
// share carries in a second, so such a wait would time out every time.
func (s *RateLimitedStore) Wait() time.Duration {
	tokens := s.limit.Tokens()
	if s.limit.Limit() == rate.Inf || tokens >= 0 {
		return 0
	}
	return time.Duration(-tokens / float64(s.limit.Limit()) * float64(time.Second))
}

// awaitShare waits until the bytes of earlier objects are within the rate limit; nothing was sent when it fails.
func (s *RateLimitedStore) awaitShare(ctx context.Context) error {
	wait := s.Wait()
	if wait == 0 {
		return nil
	}
	if !sleeper.Sleep(ctx, wait) {
		return &UnavailableError{Operation: "wait for the link's share", After: wait, Cause: ctx.Err()}
	}
	return nil
}

// charge takes n bytes from the limiter in steps of its burst, and lets its balance go below zero.
func (s *RateLimitedStore) charge(n int) {
	if s.limit.Limit() == rate.Inf {
		return
	}
	for burst := s.limit.Burst(); n > 0 && burst > 0; n -= burst {
		s.limit.ReserveN(time.Now(), min(n, burst))
	}
}

// TransferWait returns how long the next object of s waits for the link: zero unless s is a *RateLimitedStore.
func TransferWait(s Store) time.Duration {
	switch s := s.(type) {
	case *RateLimitedStore:
		return s.Wait()
	default:
		return 0
	}
}
