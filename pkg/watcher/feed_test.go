package watcher

import (
	"context"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// emptyTable is a table without rows; while its second partition is read, its first row is written to the first one.
type emptyTable struct {
	storer.Table
	rows []storer.Entry
}

func (t *emptyTable) Scan(_ context.Context, r storer.Range) (storer.Page, error) {
	if r.Partition == "b" {
		t.rows = []storer.Entry{{Table: r.Table, Partition: "a", Key: "k", Version: 1}}
	}
	return storer.Page{Version: int64(len(t.rows))}, nil
}

func (t *emptyTable) Watch(_ context.Context, _ string, after int64, _ time.Duration) (storer.Page, error) {
	return storer.Page{Entries: t.rows[after:], Version: int64(len(t.rows))}, nil
}

// TestFirstRowOfAnEmptyStoreIsReceived guards against a feed that takes the version 0 of an empty store for none.
func TestFirstRowOfAnEmptyStoreIsReceived(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	var keys []string
	f := NewFeed(&emptyTable{}, "t", []string{"a", "b"}, func(u Update) {
		for _, e := range u.Entries {
			keys = append(keys, e.Key)
		}
	}, log)
	for range 2 {
		assert.NoError(t, f.step(t.Context()))
	}
	assert.Equal(t, []string{"k"}, keys)
}

// forgetfulTable is a table that never has the history that a watch needs.
type forgetfulTable struct {
	storer.Table
	scans int
}

func (t *forgetfulTable) Scan(context.Context, storer.Range) (storer.Page, error) {
	t.scans++
	return storer.Page{Version: 7}, nil
}

func (t *forgetfulTable) Watch(_ context.Context, table string, after int64, _ time.Duration) (storer.Page, error) {
	return storer.Page{}, &storer.HistoryLostError{Table: table, After: after}
}

// TestStoreWithoutHistoryIsNotReadInALoop guards against a feed that reads a table again and again without a pause.
func TestStoreWithoutHistoryIsNotReadInALoop(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	table := &forgetfulTable{}
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	NewFeed(table, "t", []string{""}, func(Update) {}, log).run(ctx)
	assert.GreaterOrEqual(t, table.scans, 2, "the first loss is followed by a scan at once")
	assert.Less(t, table.scans, 8)
}

// askedTable has one row in each table and records after which versions it is watched.
type askedTable struct {
	storer.Table
	asked []int64
}

func (t *askedTable) Scan(_ context.Context, r storer.Range) (storer.Page, error) {
	return storer.Page{Entries: []storer.Entry{{Table: r.Table, Key: "c", Value: []byte{1}, Version: 5}}, Version: 5}, nil
}

func (t *askedTable) Watch(_ context.Context, _ string, after int64, _ time.Duration) (storer.Page, error) {
	t.asked = append(t.asked, after)
	return storer.Page{Version: after}, nil
}

// TestConfigurationOfAPeerIsNotReadAgain guards against a watch that asks the store for the row that a peer has sent.
func TestConfigurationOfAPeerIsNotReadAgain(t *testing.T) {
	w, _ := newWorkWatcher(1)
	table := &askedTable{}
	w.config.store = table
	for range 2 {
		assert.NoError(t, w.config.step(t.Context()))
	}
	w.ApplyPeerRows([]storer.Entry{{Table: "config", Key: "c", Value: []byte{2}, Version: 60}})
	assert.NoError(t, w.config.step(t.Context()))
	w.ApplyPeerRows([]storer.Entry{{Table: "config", Key: "c", Value: []byte{1}, Version: 50}})
	assert.NoError(t, w.config.step(t.Context()))
	assert.Equal(t, []int64{5, 60, 60}, table.asked)
}
