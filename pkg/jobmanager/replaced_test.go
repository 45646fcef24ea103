package jobmanager

import (
	"context"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

// onApply is a store that calls the function at each change.
type onApply struct {
	storer.Table
	call func()
}

func (s onApply) Apply(context.Context, storer.Change) (int64, error) {
	s.call()
	return 2, nil
}

// TestRecordReplacedDuringACommit guards against a panic: a job's row is deleted and comes again while a result is written.
func TestRecordReplacedDuringACommit(t *testing.T) {
	row, err := encodeJob(jobrecorder.Job{ID: "j", Tokens: []int64{1}})
	require.NoError(t, err)
	row.Version = 1
	log, _ := logtest.NewNullLogger()
	store := &onApply{}
	m := New(Config{VM: "v", RowBytes: 1 << 16, KeepFor: time.Hour}, store, nil, nil, nil, log)
	m.applyUpdate(watcher.Update{Entries: []storer.Entry{row}})
	store.call = func() {
		removed, again := row, row
		removed.Version, removed.IsRemoved, again.Version = 2, true, 3
		m.applyUpdate(watcher.Update{Entries: []storer.Entry{removed, again}})
	}
	rec := m.jobs["j"]
	rec.finished, rec.isCommitting = []finishedItem{{result: Result{ID: "i", State: jobrecorder.Succeeded}}}, true
	require.NotPanics(t, func() { m.runCommit(t.Context(), "j", rec) })
	assert.Empty(t, rec.finished)
	assert.NotSame(t, rec, m.jobs["j"])
}
