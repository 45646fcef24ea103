package tracer

import (
	"bytes"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestLogQueueDropsInsteadOfBlocking writes more lines than a LogQueue holds to an output that blocks: it must drop lines.
func TestLogQueueDropsInsteadOfBlocking(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
	q := NewLogQueue(w)
	for range 3 * queueLines {
		_, err := q.Write([]byte("line\n"))
		assert.NoError(t, err)
	}
	assert.Positive(t, q.Dropped())
	close(w.release)
	q.Close(time.Second)
}

// TestLogQueueAcceptsLinesAfterClose writes to a closed LogQueue: the write must not fail, and the line is lost.
func TestLogQueueAcceptsLinesAfterClose(t *testing.T) {
	out := &bytes.Buffer{}
	q := NewLogQueue(out)
	_, _ = q.Write([]byte("first\n"))
	q.Close(time.Second)
	_, err := q.Write([]byte("late\n"))
	assert.NoError(t, err)
	assert.Equal(t, "first\n", out.String())
}

// TestLogQueueHoldsFewBytes writes long lines, as of errors that quote what an endpoint sent, to an output that blocks: what
// waits stays within queueBytes, and lines are written again once it has gone.
func TestLogQueueHoldsFewBytes(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
	q := NewLogQueue(w)
	before, long := heapBytes(), bytes.Repeat([]byte("x"), 64<<10)
	for range lineBurst {
		_, _ = q.Write(long)
	}
	assert.Less(t, heapBytes()-before, int64(2*queueBytes), "bytes that wait")
	assert.GreaterOrEqual(t, q.Dropped(), int64(lineBurst-queueBytes/len(long)-1))
	close(w.release)
	q.Close(time.Second)
	assert.Zero(t, q.waiting.Load())
}

// heapBytes returns the bytes of the heap that are in use after a collection.
func heapBytes() int64 {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return int64(min(m.HeapAlloc, math.MaxInt64))
}
