package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sony/gobreaker/v2"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
)

const (
	readTries            = 3
	breakerFailures      = 5
	breakerOpenFor       = 2 * time.Second
	firstBackoff         = 20 * time.Millisecond
	longestBackoff       = 400 * time.Millisecond
	maxErrorBytes        = 4 << 10
	idleConnectionsToOne = 64
)

// Config says where the platform is and how long one call may take.
type Config struct {
	Address netip.AddrPort
	Timeout time.Duration
}

// Counts are the calls made so far by kind.
type Counts struct {
	Reads, Writes, Objects, Failures int64
}

// Client is a Store over HTTP with a deadline for each call, retried reads and a circuit breaker.
type Client struct {
	cfg     Config
	base    string
	http    *http.Client
	breaker *gobreaker.CircuitBreaker[struct{}]

	reads, writes, objects, failures atomic.Int64
}

var _ Store = (*Client)(nil)

// NewClient returns a Client for the platform at cfg.Address.
func NewClient(cfg Config) *Client {
	c := &Client{
		cfg:  cfg,
		base: "http://" + cfg.Address.String(),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnectionsToOne}},
	}
	c.breaker = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
		Name:        "platform",
		Timeout:     breakerOpenFor,
		ReadyToTrip: func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= breakerFailures },
		IsSuccessful: func(err error) bool {
			notFound := (*NotFoundError)(nil)
			return err == nil || errors.As(err, &notFound)
		},
		IsExcluded: func(err error) bool { return errors.Is(err, context.Canceled) },
	})
	return c
}

// Counts returns the calls made so far.
func (c *Client) Counts() Counts {
	return Counts{Reads: c.reads.Load(), Writes: c.writes.Load(), Objects: c.objects.Load(), Failures: c.failures.Load()}
}

// Read returns the row, with Version 0 when it is absent.
func (c *Client) Read(ctx context.Context, key string) (Row, error) {
	c.reads.Add(1)
	row := Row{}
	err := c.getJSON(ctx, "read "+key, "/table/row?key="+url.QueryEscape(key), &row)
	return row, err
}

// List returns at most n rows whose keys start with prefix and sort behind after, in key order.
func (c *Client) List(ctx context.Context, prefix, after string, n int) ([]Row, error) {
	c.reads.Add(1)
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(n)}}
	rows := []Row{}
	err := c.getJSON(ctx, "list "+prefix, "/table/rows?"+q.Encode(), &rows)
	return rows, err
}

// ListVMs returns the platform's list of VMs.
func (c *Client) ListVMs(ctx context.Context) ([]VMRecord, error) {
	c.reads.Add(1)
	vms := []VMRecord{}
	err := c.getJSON(ctx, "list VMs", "/vms", &vms)
	return vms, err
}

// Commit applies tx and returns the new version of its written rows.
//
// It is sent once: a lost answer is the caller's to resolve by reading back, for only the caller knows
// whether the rows that it finds are its own.
func (c *Client) Commit(ctx context.Context, tx Transaction) (int64, error) {
	c.writes.Add(1)
	body, err := json.Marshal(tx)
	if err != nil {
		return 0, errors.Wrap(err, "encode transaction")
	}
	reply := struct {
		Version int64 `json:"version"`
		Current *Row  `json:"current"`
	}{}
	err = c.do(ctx, "commit", http.MethodPost, "/table/commit", body, func(res *http.Response) error {
		return json.NewDecoder(res.Body).Decode(&reply)
	})
	if err != nil {
		return 0, err
	}
	if reply.Current != nil {
		return 0, &ConflictError{Current: *reply.Current}
	}
	return reply.Version, nil
}

// PutObject stores body under name; names are never reused for other content, so it is retried.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	c.objects.Add(1)
	put := func() (struct{}, error) {
		err := c.do(ctx, "put object "+name, http.MethodPut, objectPath(name), body, drain)
		return struct{}{}, permanentUnlessUnavailable(err)
	}
	_, err := backoff.Retry(ctx, put, backoff.WithBackOff(newBackoff()), backoff.WithMaxTries(readTries))
	return err
}

// GetObject opens the object; the caller closes it.
func (c *Client) GetObject(ctx context.Context, name string) (io.ReadCloser, error) {
	c.objects.Add(1)
	var body []byte
	get := func() (struct{}, error) {
		err := c.do(ctx, "get object "+name, http.MethodGet, objectPath(name), nil, func(res *http.Response) error {
			if res.StatusCode == http.StatusNotFound {
				return &NotFoundError{Name: name}
			}
			var err error
			body, err = io.ReadAll(res.Body)
			return err
		})
		return struct{}{}, permanentUnlessUnavailable(err)
	}
	_, err := backoff.Retry(ctx, get, backoff.WithBackOff(newBackoff()), backoff.WithMaxTries(readTries))
	if err != nil {
		return nil, err
	}
	return io.NopCloser(bytes.NewReader(body)), nil
}

func (c *Client) getJSON(ctx context.Context, what, path string, into any) error {
	get := func() (struct{}, error) {
		err := c.do(ctx, what, http.MethodGet, path, nil, func(res *http.Response) error {
			return json.NewDecoder(res.Body).Decode(into)
		})
		return struct{}{}, permanentUnlessUnavailable(err)
	}
	_, err := backoff.Retry(ctx, get, backoff.WithBackOff(newBackoff()), backoff.WithMaxTries(readTries))
	return err
}

func (c *Client) do(ctx context.Context, what, method, path string, body []byte, read func(*http.Response) error) error {
	ctx, span := otel.Tracer("storer").Start(ctx, "store "+method)
	defer span.End()
	span.SetAttributes(attribute.String("store.operation", what))
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	err := c.send(ctx, method, path, body, read)
	if err == nil {
		return nil
	}
	if nf := (*NotFoundError)(nil); errors.As(err, &nf) {
		return err
	}
	c.failures.Add(1)
	span.SetStatus(codes.Error, err.Error())
	isRefusedHere := errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests)
	return &UnavailableError{
		Operation:  what,
		After:      c.cfg.Timeout,
		MayHaveRun: method != http.MethodGet && !isRefusedHere,
		Cause:      err,
	}
}

func (c *Client) send(ctx context.Context, method, path string, body []byte, read func(*http.Response) error) error {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	_, err = c.breaker.Execute(func() (struct{}, error) {
		res, err := c.http.Do(r)
		if err != nil {
			return struct{}{}, err
		}
		defer func() { _ = res.Body.Close() }()
		if res.StatusCode >= http.StatusInternalServerError {
			msg, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
			return struct{}{}, errors.Errorf("status %d: %s", res.StatusCode, bytes.TrimSpace(msg))
		}
		return struct{}{}, read(res)
	})
	return err
}

func objectPath(name string) string {
	return "/objects/" + url.PathEscape(name)
}

func drain(res *http.Response) error {
	_, err := io.Copy(io.Discard, res.Body)
	return err
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff
	b.MaxInterval = longestBackoff
	return b
}

func permanentUnlessUnavailable(err error) error {
	if ue := (*UnavailableError)(nil); err == nil || errors.As(err, &ue) {
		return err
	}
	return backoff.Permanent(err)
}
