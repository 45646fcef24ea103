package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/encoder"
)

// TestNewStreamIsNotRemoved removes unwatched streams between the start of a stream and its first watcher.
func TestNewStreamIsNotRemoved(t *testing.T) {
	e := NewEngine(EngineTiming{}, false)
	s := e.start("s", encoder.ChatRequest{})
	e.removeUnwatched(time.Now())
	assert.Same(t, s, e.streams["s"])
	e.removeUnwatched(time.Now().Add(2 * streamRetention))
	assert.Empty(t, e.streams)
}
