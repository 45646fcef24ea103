package tracer

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestRingDropsRatherThanBlocks(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
	r := NewRing(w)
	for range 3 * ringLines {
		_, err := r.Write([]byte("line\n"))
		assert.NoError(t, err)
	}
	assert.Positive(t, r.Dropped())
	close(w.release)
	r.Close(time.Second)
}

func TestRingTakesLinesAfterItsEnd(t *testing.T) {
	out := &bytes.Buffer{}
	r := NewRing(out)
	_, _ = r.Write([]byte("first\n"))
	r.Close(time.Second)
	_, err := r.Write([]byte("late\n"))
	assert.NoError(t, err)
	assert.Equal(t, "first\n", out.String())
}
