package tracer

import (
	"sync"
	"time"
)

// Sampler bounds the log lines for one cause in a second.
type Sampler struct {
	perSecond int

	mu     sync.Mutex
	second time.Time
	lines  map[string]int
	// unlogged counts the lines left out since the last one, by cause.
	unlogged map[string]int
}

// NewSampler returns a sampler that allows this many lines a second for each cause. The causes must be few.
func NewSampler(perSecond int) *Sampler {
	return &Sampler{perSecond: perSecond, lines: map[string]int{}, unlogged: map[string]int{}}
}

// Allow reports whether a line for the cause may be written now, and how many were left out since the last one.
func (s *Sampler) Allow(now time.Time, cause string) (unlogged int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.second) >= time.Second {
		s.second = now
		clear(s.lines)
	}
	if s.lines[cause] >= s.perSecond {
		s.unlogged[cause]++
		return 0, false
	}
	s.lines[cause]++
	unlogged = s.unlogged[cause]
	delete(s.unlogged, cause)
	return unlogged, true
}
