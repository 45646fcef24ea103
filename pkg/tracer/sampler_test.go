package tracer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSamplerBoundsLines guards against a flood that fills the log, and against one cause that silences another.
func TestSamplerBoundsLines(t *testing.T) {
	s, now := NewSampler(2), time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)
	logged := 0
	for range 10 {
		if _, ok := s.Allow(now, "flood"); ok {
			logged++
		}
	}
	assert.Equal(t, 2, logged)
	unlogged, ok := s.Allow(now, "other")
	assert.True(t, ok)
	assert.Zero(t, unlogged)
	unlogged, ok = s.Allow(now.Add(time.Second), "flood")
	assert.True(t, ok)
	assert.Equal(t, 8, unlogged)
}
