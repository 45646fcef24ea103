package storer

import (
	"context"
	"fmt"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// Entry is one row of a partitioned table, at the version of the transaction that wrote it.
type Entry struct {
	Table     string
	Partition string
	Key       string
	Value     []byte
	Version   int64
	// IsRemoved marks a row that a change deleted.
	IsRemoved bool
}

// Range is the rows of one partition from From, inclusive, to To, exclusive; an empty bound is open. A Limit above zero is
// the maximum number of rows of the page.
type Range struct {
	Table, Partition, From, To string
	Limit                      int
}

// Page holds rows of a range, or changes of a table, as of Version; HasMore is set when there are more.
type Page struct {
	Entries []Entry
	Version int64
	HasMore bool
	// Clock is the time of the store's steady clock when it answered; none if it did not say.
	Clock option.Option[time.Duration]
	// Age is how old the page's knowledge was when the call reached the VM that passed it on, negative if it is newer than that;
	// none if the store answered itself.
	Age option.Option[time.Duration]
}

// Change is a set of writes that takes effect together, or not at all when a row of Expect has another version.
type Change struct {
	// Expect names rows with the Version that each must have; 0 requires the row to be absent.
	Expect  []Entry
	Puts    []Entry
	Deletes []Entry
	// IsCrossPartition is set when the change writes to several partitions.
	IsCrossPartition bool
}

// Table is the platform's table service and its object store.
//
// Errors: *StaleError when a row of Expect has another version, *HistoryLostError when a watch can't continue,
// *ExistsError and *NotFoundError for objects, *UnavailableError when there was no answer.
type Table interface {
	Scan(ctx context.Context, r Range) (Page, error)
	// Watch returns the changes after a version as soon as there is one, and an empty page when wait has passed.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
	// Apply returns the version of the rows that it wrote.
	Apply(ctx context.Context, c Change) (int64, error)
	PutBlob(ctx context.Context, name string, body []byte) error
	GetBlob(ctx context.Context, name string) ([]byte, error)
	// DeleteBlob deletes an object; an absent object is no error.
	DeleteBlob(ctx context.Context, name string) error
}

// scanPage is the largest number of rows that the table service returns in a page.
const scanPage = 500

// ScanAll reads a complete range in pages and returns its rows and the lowest version of the pages.
func ScanAll(ctx context.Context, t Table, r Range) ([]Entry, int64, error) {
	var entries []Entry
	version := int64(0)
	err := ScanPages(ctx, t, r, func(page Page) {
		entries = append(entries, page.Entries...)
		if version == 0 || page.Version < version {
			version = page.Version
		}
	})
	if err != nil {
		return nil, 0, err
	}
	return entries, version, nil
}

// ScanPages calls visit with each page of a complete range.
func ScanPages(ctx context.Context, t Table, r Range, visit func(Page)) error {
	r.Limit = scanPage
	for {
		page, err := t.Scan(ctx, r)
		if err != nil {
			return err
		}
		visit(page)
		if !page.HasMore || len(page.Entries) == 0 {
			return nil
		}
		r.From = page.Entries[len(page.Entries)-1].Key + "\x00"
	}
}

// StaleError reports that a row had another version than a change expected; Current holds the rows as stored.
type StaleError struct {
	Current []Entry
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("change refused: %d expected rows have other versions", len(e.Current))
}

// HistoryLostError reports that the platform no longer keeps the changes of Table after version After.
type HistoryLostError struct {
	Table string
	After int64
}

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("changes of table %s after version %d are no longer kept", e.Table, e.After)
}

// ExistsError reports that an object of this name is already stored.
type ExistsError struct {
	Name string
}

func (e *ExistsError) Error() string { return "object " + e.Name + " exists" }
