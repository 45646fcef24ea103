package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sony/gobreaker/v2"
)

const (
	// RowTable holds the rows of a TableStore, all in one partition, so that a transaction may write any of them.
	RowTable = "dogwoodledge"
	// ListedVMTable holds the platform's list of VMs, one VMRecord a row; VMs do not write to it.
	ListedVMTable = "vms"
)

const (
	// readTries bounds the attempts of a read or an object transfer, which are safe to repeat.
	readTries = 3
	// breakerFailures consecutive failures mean that the platform is unavailable and open the circuit breaker; a few lost
	// answers must not.
	breakerFailures = 5
	// breakerOpenFor is how long the breaker stays open, well under the duration of a lease.
	breakerOpenFor = 2 * time.Second
	// firstBackoff is the duration of a few calls; longestBackoff keeps the waits between all attempts within a second.
	firstBackoff   = 20 * time.Millisecond
	longestBackoff = 400 * time.Millisecond
)

// Counts are the calls made so far by kind, and how many of them got no usable answer.
type Counts struct {
	Reads, Writes, Objects, Failures int64
}

// TableStore is a Store over a Table; it retries reads and object transfers, and has a circuit breaker.
type TableStore struct {
	table   Table
	breaker *gobreaker.CircuitBreaker[struct{}]

	reads, writes, objects, failures atomic.Int64
}

var _ Store = (*TableStore)(nil)

// NewTableStore returns a Store that keeps its rows and objects in t.
func NewTableStore(t Table) *TableStore {
	return &TableStore{
		table: t,
		breaker: gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
			Name:         "platform",
			Timeout:      breakerOpenFor,
			ReadyToTrip:  func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= breakerFailures },
			IsSuccessful: func(err error) bool { return !isUnavailable(err) },
			IsExcluded:   func(err error) bool { return errors.Is(err, context.Canceled) },
		}),
	}
}

// Counts returns the calls made so far.
func (s *TableStore) Counts() Counts {
	return Counts{Reads: s.reads.Load(), Writes: s.writes.Load(), Objects: s.objects.Load(), Failures: s.failures.Load()}
}

// Read returns the row, with Version 0 when it is absent.
func (s *TableStore) Read(ctx context.Context, key string) (Row, error) {
	s.reads.Add(1)
	row := Row{Key: key}
	err := s.retry(ctx, "read "+key, func() error {
		page, err := s.table.Scan(ctx, Range{Table: RowTable, From: key, To: key + "\x00", Limit: 1})
		for _, e := range page.Entries {
			row.Version, row.Value = e.Version, e.Value
		}
		return err
	})
	return row, err
}

// List returns at most n rows whose keys start with prefix and are greater than after, in key order.
func (s *TableStore) List(ctx context.Context, prefix, after string, n int) ([]Row, error) {
	s.reads.Add(1)
	r := Range{Table: RowTable, From: max(prefix, after+"\x00"), To: endOfPrefix(prefix)}
	rows := []Row{}
	for {
		r.Limit = min(n-len(rows), scanPage)
		page := Page{}
		err := s.retry(ctx, "list "+prefix, func() error {
			var err error
			page, err = s.table.Scan(ctx, r)
			return err
		})
		if err != nil {
			return nil, err
		}
		for _, e := range page.Entries {
			rows = append(rows, Row{Key: e.Key, Version: e.Version, Value: e.Value})
		}
		if !page.HasMore || len(page.Entries) == 0 || len(rows) >= n {
			return rows, nil
		}
		r.From = rows[len(rows)-1].Key + "\x00"
	}
}

// ListVMs returns the platform's list of VMs.
func (s *TableStore) ListVMs(ctx context.Context) ([]VMRecord, error) {
	s.reads.Add(1)
	var entries []Entry
	err := s.retry(ctx, "list VMs", func() error {
		var err error
		entries, _, err = ScanAll(ctx, s.table, Range{Table: ListedVMTable})
		return err
	})
	if err != nil {
		return nil, err
	}
	vms := make([]VMRecord, len(entries))
	for i, e := range entries {
		if err := json.Unmarshal(e.Value, &vms[i]); err != nil {
			return nil, errors.Wrapf(err, "decode VM %q", e.Key)
		}
	}
	return vms, nil
}

// Commit applies tx and returns the new version of its written rows.
//
// It is sent once: when the answer is lost the caller must read back, because only the caller can recognise whether
// the rows are its own.
func (s *TableStore) Commit(ctx context.Context, tx Transaction) (int64, error) {
	s.writes.Add(1)
	c := Change{}
	for _, check := range tx.Checks {
		c.Expect = append(c.Expect, Entry{Table: RowTable, Key: check.Key, Version: check.Version})
	}
	for _, put := range tx.Puts {
		c.Puts = append(c.Puts, Entry{Table: RowTable, Key: put.Key, Value: put.Value})
	}
	for _, key := range tx.Deletes {
		c.Deletes = append(c.Deletes, Entry{Table: RowTable, Key: key})
	}
	version := int64(0)
	err := s.guard("commit", func() error {
		var err error
		version, err = s.table.Apply(ctx, c)
		return err
	})
	stale := (*StaleError)(nil)
	if errors.As(err, &stale) {
		return 0, &ConflictError{Current: firstMismatch(tx.Checks, stale.Current)}
	}
	return version, err
}

// PutObject stores body under name, with retries.
//
// Names are never reused for other content, so an object that exists was stored by an earlier attempt.
func (s *TableStore) PutObject(ctx context.Context, name string, body []byte) error {
	s.objects.Add(1)
	return s.retry(ctx, "put object "+name, func() error {
		err := s.table.PutBlob(ctx, name, body)
		if exists := (*ExistsError)(nil); errors.As(err, &exists) {
			return nil
		}
		return err
	})
}

// GetObject reads the object, with retries; the caller closes it.
func (s *TableStore) GetObject(ctx context.Context, name string) (io.ReadCloser, error) {
	s.objects.Add(1)
	var body []byte
	err := s.retry(ctx, "get object "+name, func() error {
		var err error
		body, err = s.table.GetBlob(ctx, name)
		return err
	})
	if err != nil {
		return nil, err
	}
	return io.NopCloser(bytes.NewReader(body)), nil
}

// retry makes a call that is safe to repeat, at most readTries times until it has an answer.
func (s *TableStore) retry(ctx context.Context, operation string, call func() error) error {
	attempt := func() (struct{}, error) {
		err := s.guard(operation, call)
		if err != nil && !isUnavailable(err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstBackoff, longestBackoff
	_, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(b), backoff.WithMaxTries(readTries))
	return err
}

// guard makes a call unless the circuit breaker is open, and counts failures.
func (s *TableStore) guard(operation string, call func() error) error {
	_, err := s.breaker.Execute(func() (struct{}, error) { return struct{}{}, call() })
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		err = &UnavailableError{Operation: operation, Cause: err}
	}
	if isUnavailable(err) {
		s.failures.Add(1)
	}
	return err
}

// firstMismatch returns the first row whose current version differs from its check, as it is in current.
func firstMismatch(checks []Check, current []Entry) Row {
	for _, check := range checks {
		row := Row{Key: check.Key}
		if i := slices.IndexFunc(current, func(e Entry) bool { return e.Key == check.Key }); i >= 0 {
			row.Version, row.Value = current[i].Version, current[i].Value
		}
		if row.Version != check.Version {
			return row
		}
	}
	return Row{}
}

// endOfPrefix returns the first key that sorts after all keys with the prefix, and "" when there is none.
func endOfPrefix(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}
	return ""
}

func isUnavailable(err error) bool {
	unavailable := (*UnavailableError)(nil)
	return errors.As(err, &unavailable)
}
