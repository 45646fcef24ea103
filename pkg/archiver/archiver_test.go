package archiver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/batcher"
	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

var (
	ctx      = context.Background()
	testTime = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
)

// anyBody accepts every body.
func anyBody(body []byte) (model, field, value, remedy string) {
	m := struct{ Model string }{}
	_ = json.Unmarshal(body, &m)
	return m.Model, "", "", ""
}

// lines returns a reader of n batch lines that are generated while they are read.
func lines(n int) io.Reader {
	r, w := io.Pipe()
	go func() {
		for i := range n {
			_, err := fmt.Fprintf(w, `{"custom_id":"sheet-%d","method":"POST","url":"/v1/chat/completions",`+
				`"body":{"model":"m","messages":[{"role":"user","content":"Check charge sheet %d of the northern kilns"}]}}`+"\n", i, i)
			if err != nil {
				return
			}
		}
		_ = w.Close()
	}()
	return r
}

func newJob(t *testing.T, a *Archiver, n int) JobRow {
	t.Helper()
	file, err := a.SaveFile(ctx, "kiln", "f", lines(n), anyBody, testTime)
	require.NoError(t, err)
	job := JobRow{ID: JobID("kiln", "k"), Account: "kiln", File: file, Due: testTime.Add(time.Hour), State: JobRunning}
	job, err = a.CreateJob(ctx, job)
	require.NoError(t, err)
	return job
}

// commitSegment claims segment n for holder after the row old, and commits one result.
func commitSegment(t *testing.T, a *Archiver, job JobRow, jobVersion int64, n int, holder string, old VersionedSegment) error {
	t.Helper()
	row := batcher.SegmentRow{Holder: holder, Fence: old.Fence + 1, State: batcher.SegmentRunning}
	version, err := a.WriteSegment(ctx, job.ID, n, row, old.Version)
	require.NoError(t, err)
	row.State, row.Result, row.Completed = batcher.SegmentDone, ResultObject(job.ID, n, row.Fence), 1
	require.NoError(t, a.PutResults(ctx, row.Result, []batcher.ItemResult{{ID: holder, Body: []byte(`{}`)}}))
	return a.CommitSegment(ctx, job, jobVersion, n, row, version)
}

// TestCancelRacesWithLastSegment cancels a job after its last segment was processed and before it is committed.
func TestCancelRacesWithLastSegment(t *testing.T) {
	a := New(emulator.NewPlatform(), 10)
	job := newJob(t, a, 10)
	_, version, err := a.Job(ctx, "kiln", job.ID)
	require.NoError(t, err)
	_, err = a.CancelJob(ctx, "kiln", job.ID, testTime)
	require.NoError(t, err)
	var conflict *storer.ConflictError
	require.ErrorAs(t, commitSegment(t, a, job, version, 0, "vm-1", VersionedSegment{}), &conflict)
	finished, err := a.FinishJob(ctx, "kiln", job.ID, testTime)
	require.NoError(t, err)
	assert.Equal(t, JobCancelled, finished.State)
	assert.Zero(t, finished.Completed)
}

// TestReplacedHolderCommitsNothing lets a second holder take over and commit a segment before the first one commits it.
func TestReplacedHolderCommitsNothing(t *testing.T) {
	a := New(emulator.NewPlatform(), 10)
	job := newJob(t, a, 10)
	_, jobVersion, err := a.Job(ctx, "kiln", job.ID)
	require.NoError(t, err)
	stale := batcher.SegmentRow{Holder: "vm-1", Fence: 1, State: batcher.SegmentRunning}
	staleVersion, err := a.WriteSegment(ctx, job.ID, 0, stale, 0)
	require.NoError(t, err)
	require.NoError(t, commitSegment(t, a, job, jobVersion, 0, "vm-2", VersionedSegment{SegmentRow: stale, Version: staleVersion}))
	stale.State, stale.Result = batcher.SegmentDone, ResultObject(job.ID, 0, 1)
	require.NoError(t, a.PutResults(ctx, stale.Result, []batcher.ItemResult{{ID: "vm-1", Body: []byte(`{}`)}}))
	var conflict *storer.ConflictError
	require.ErrorAs(t, a.CommitSegment(ctx, job, jobVersion, 0, stale, staleVersion), &conflict)
	out := bytes.Buffer{}
	require.NoError(t, a.WriteOutput(ctx, job, false, &out))
	assert.Contains(t, out.String(), "vm-2")
	assert.NotContains(t, out.String(), "vm-1")
}

// TestLostAnswersAreReadBack loses the answer of each write; every step must still succeed, and take effect once.
func TestLostAnswersAreReadBack(t *testing.T) {
	p := emulator.NewPlatform()
	a := New(p, 10)
	lose := func() { p.SetFaults(emulator.PlatformFaults{LoseAnswers: 1}) }
	file, err := a.SaveFile(ctx, "kiln", "f", lines(10), anyBody, testTime)
	require.NoError(t, err)
	job := JobRow{ID: JobID("kiln", "k"), Account: "kiln", File: file, State: JobRunning}
	lose()
	_, err = a.CreateJob(ctx, job)
	require.NoError(t, err)
	again, err := a.CreateJob(ctx, job)
	require.NoError(t, err)
	assert.Equal(t, job.ID, again.ID)
	_, jobVersion, err := a.Job(ctx, "kiln", job.ID)
	require.NoError(t, err)
	row := batcher.SegmentRow{Holder: "vm-1", Fence: 1, State: batcher.SegmentRunning}
	lose()
	version, err := a.WriteSegment(ctx, job.ID, 0, row, 0)
	require.NoError(t, err)
	row.State, row.Completed = batcher.SegmentDone, 10
	lose()
	require.NoError(t, a.CommitSegment(ctx, job, jobVersion, 0, row, version))
	finished, err := a.FinishJob(ctx, "kiln", job.ID, testTime)
	require.NoError(t, err)
	assert.Equal(t, JobCompleted, finished.State)
	assert.Equal(t, 10, finished.Completed)
}

// TestLostAnswerOfFailedAttemptsIsReadBack loses the answer of a write with failed attempts, and of one that another VM overtook.
func TestLostAnswerOfFailedAttemptsIsReadBack(t *testing.T) {
	p := emulator.NewPlatform()
	a := New(p, 10)
	row := batcher.SegmentRow{Holder: "vm-1", Fence: 1, State: batcher.SegmentRunning, Attempts: map[int]int{3: 2, 7: 1}}
	p.SetFaults(emulator.PlatformFaults{LoseAnswers: 1})
	version, err := a.WriteSegment(ctx, "j", 0, row, 0)
	require.NoError(t, err)
	segments, err := a.Segments(ctx, "j")
	require.NoError(t, err)
	assert.Equal(t, VersionedSegment{SegmentRow: row, Version: version}, segments[0])
	row.Attempts = map[int]int{3: 3, 7: 1}
	conflict := (*storer.ConflictError)(nil)
	_, err = a.WriteSegment(ctx, "j", 0, row, 0)
	require.ErrorAs(t, err, &conflict, "another row was taken for this one")
}

// TestLargeJobTakesBoundedMemory uploads the largest specified job, 610,000 items, within the memory of a VM.
func TestLargeJobTakesBoundedMemory(t *testing.T) {
	const items = 610_000
	const maxHeapBytes = 128 << 20
	s := &discardingStore{Platform: emulator.NewPlatform()}
	a := New(s, 500)
	peak := uint64(0)
	s.onPut = func() {
		if s.puts%100 == 0 {
			m := runtime.MemStats{}
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapInuse)
		}
	}
	file, err := a.SaveFile(ctx, "kiln", "f", lines(items), anyBody, testTime)
	require.NoError(t, err)
	assert.Equal(t, items, file.Lines)
	assert.Equal(t, items/500, file.Parts)
	assert.Equal(t, items/500, s.puts, "one object for each part")
	assert.Less(t, peak, uint64(maxHeapBytes))
	t.Logf("peak heap in use %d MiB, %d MB of input", peak>>20, file.Bytes/1_000_000)
}

// discardingStore counts objects and discards them, since the platform does not keep them in a VM's memory.
type discardingStore struct {
	*emulator.Platform
	puts  int
	onPut func()
}

// PutObject counts and discards the object.
func (s *discardingStore) PutObject(context.Context, string, []byte) error {
	s.puts++
	s.onPut()
	return nil
}

// TestFileSentAgainIsFound uploads the same file twice and then another one.
func TestFileSentAgainIsFound(t *testing.T) {
	a := New(emulator.NewPlatform(), 10)
	first, err := a.SaveFile(ctx, "kiln", "f", lines(25), anyBody, testTime)
	require.NoError(t, err)
	again, err := a.SaveFile(ctx, "kiln", "f", lines(25), anyBody, testTime)
	require.NoError(t, err)
	other, err := a.SaveFile(ctx, "kiln", "f", lines(26), anyBody, testTime)
	require.NoError(t, err)
	assert.Equal(t, first, again)
	assert.NotEqual(t, first.ID, other.ID)
	out := bytes.Buffer{}
	require.NoError(t, a.WriteFile(ctx, first, &out))
	want, err := io.ReadAll(lines(25))
	require.NoError(t, err)
	assert.Equal(t, string(want), out.String())
}

func FuzzSaveFile(f *testing.F) {
	f.Add(`{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}`)
	f.Add("{}\n{")
	f.Add("\x00\n" + strings.Repeat("[", 1000))
	f.Fuzz(func(t *testing.T, text string) {
		p := emulator.NewPlatform()
		row, err := New(p, 3).SaveFile(ctx, "kiln", "f", strings.NewReader(text), anyBody, testTime)
		if err != nil {
			rows, listErr := p.List(ctx, "file/", "", 10)
			require.NoError(t, listErr)
			require.Empty(t, rows, "a refused file must leave no row")
			return
		}
		require.Positive(t, row.Lines)
	})
}
