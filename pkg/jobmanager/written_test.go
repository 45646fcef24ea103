package jobmanager

import (
	"runtime"
	"testing"
	"time"
	"weak"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

// TestWrittenOutputsAreNotKept guards against a VM whose memory fills with outputs that the store has: a job's record kept them
// until the job was deleted.
func TestWrittenOutputsAreNotKept(t *testing.T) {
	row, err := encodeJob(jobrecorder.Job{ID: "j", Tokens: make([]int64, 8)})
	require.NoError(t, err)
	row.Version = 1
	log, _ := logtest.NewNullLogger()
	m := New(Config{VM: "v", RowBytes: 1 << 16, KeepFor: time.Hour}, &onApply{}, nil, nil, nil, log)
	m.applyUpdate(watcher.Update{Entries: []storer.Entry{row}})
	rec := m.jobs["j"]
	rec.isCommitting = true
	var outputs []weak.Pointer[byte]
	for n := range 8 {
		output := make([]byte, 1<<20)
		outputs = append(outputs, weak.Make(&output[0]))
		m.Finish(t.Context(), "j", n, Result{ID: "i", State: jobrecorder.Succeeded, Output: output})
	}
	assert.EqualValues(t, 8<<20, m.UnwrittenBytes())
	for {
		batch := m.nextBatch("j", rec)
		if len(batch) == 0 {
			break
		}
		m.markWritten("j", rec, batch)
	}
	assert.Zero(t, m.UnwrittenBytes())
	runtime.GC()
	for n, o := range outputs {
		assert.Nil(t, o.Value(), "output %d is kept", n)
	}
	runtime.KeepAlive(rec)
}
