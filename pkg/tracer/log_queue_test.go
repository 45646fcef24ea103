package tracer

import (
	"bytes"
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
