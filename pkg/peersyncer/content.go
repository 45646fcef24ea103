package peersyncer

import (
	"math"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

// content is what this VM knows of a table that it passes on.
type content interface {
	// Age returns the time since which changes acknowledged by the store may be unknown.
	Age() time.Duration
	// Complete returns the versions of which all changes are known.
	Complete() watcher.Complete
	// Updated returns a channel that is closed when Complete tells of further changes.
	Updated() <-chan struct{}
	// After returns the rows whose versions are later.
	After(version int64) watcher.Changes
}

// endpoints is the table of endpoints.
type endpoints struct {
	watcher *watcher.Watcher
	table   *Table
}

// Age implements content.
func (e endpoints) Age() time.Duration { return e.table.Age(time.Now()) }

// Complete implements content.
func (e endpoints) Complete() watcher.Complete { return e.watcher.EndpointsComplete() }

// Updated implements content.
func (e endpoints) Updated() <-chan struct{} { return e.watcher.EndpointsUpdated() }

// After implements content.
func (e endpoints) After(version int64) watcher.Changes { return e.watcher.EndpointsAfter(version) }

// configuration is the operators' table, of which the row of the configuration is passed on.
type configuration struct {
	watcher *watcher.Watcher
	// now returns the time since boot.
	now func() time.Duration
}

// Age is the one by which keys count as valid here: it is never lower than the true one.
func (c configuration) Age() time.Duration {
	asOf, ok := c.watcher.ConfigAsOf()
	if !ok {
		return math.MaxInt64
	}
	return max(c.now()-asOf, 0)
}

// Complete implements content.
func (c configuration) Complete() watcher.Complete { return c.watcher.ConfigComplete() }

// Updated implements content.
func (c configuration) Updated() <-chan struct{} { return c.watcher.ConfigUpdated() }

// After implements content.
func (c configuration) After(version int64) watcher.Changes { return c.watcher.ConfigAfter(version) }
