package storer

import (
	"context"
	"fmt"
	"time"
)

// Entry is one row of a partitioned table, at the version of the transaction that wrote it.
type Entry struct {
	Table     string
	Partition string
	Key       string
	Value     []byte
	Version   int64
	// IsRemoved marks a row that a change took out.
	IsRemoved bool
}

// Range is the rows of one partition from From on and before To; empty bounds are open.
type Range struct {
	Table, Partition, From, To string
	Limit                      int
}

// Page is a part of a range, or the changes of a table, as of Version.
type Page struct {
	Entries []Entry
	Version int64
	HasMore bool
}

// Change is a set of writes that take effect together, or not at all when a row of Expect has another version.
type Change struct {
	// Expect names rows with the Version that each must have; 0 demands absence.
	Expect []Entry
	Puts   []Entry
	Drops  []Entry
	// IsAcross marks a change of several partitions.
	IsAcross bool
}

// Table is the platform's table service and its object store.
//
// Errors: *StaleError when an expectation fails, *HistoryLostError when a watch can't go on, *ExistsError and
// *NotFoundError for objects, *UnavailableError when there was no answer.
type Table interface {
	Scan(ctx context.Context, r Range) (Page, error)
	// Watch returns the changes after a version as soon as there is one, and none after wait.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
	// Apply returns the version of the rows that it wrote.
	Apply(ctx context.Context, c Change) (int64, error)
	PutBlob(ctx context.Context, name string, body []byte) error
	GetBlob(ctx context.Context, name string) ([]byte, error)
	// DropBlob drops an object; one that is absent is no error.
	DropBlob(ctx context.Context, name string) error
}

// scanPage is the largest page that the table service gives.
const scanPage = 500

// ScanAll reads a whole range in pages, and returns the version of the oldest of them.
func ScanAll(ctx context.Context, t Table, r Range) ([]Entry, int64, error) {
	var entries []Entry
	version := int64(0)
	r.Limit = scanPage
	for {
		page, err := t.Scan(ctx, r)
		if err != nil {
			return nil, 0, err
		}
		entries = append(entries, page.Entries...)
		if version == 0 || page.Version < version {
			version = page.Version
		}
		if !page.HasMore || len(page.Entries) == 0 {
			return entries, version, nil
		}
		r.From = page.Entries[len(page.Entries)-1].Key + "\x00"
	}
}

// StaleError says that a row had another version than a change expected; Current holds the rows as they are.
type StaleError struct {
	Current []Entry
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("change refused: %d expected rows have other versions", len(e.Current))
}

// HistoryLostError says that the changes after a version are no longer kept.
type HistoryLostError struct {
	Table string
	After int64
}

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("changes of table %s after version %d are no longer kept", e.Table, e.After)
}

// ExistsError says that an object has been stored before.
type ExistsError struct {
	Name string
}

func (e *ExistsError) Error() string { return "object " + e.Name + " exists" }
