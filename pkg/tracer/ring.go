package tracer

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// ringLines bounds the lines that wait for a slow reader of the log.
	ringLines = 1024
	// linesPerSecond and lineBurst bound the volume: at 300 bytes a line, 120 kB a second.
	linesPerSecond = 400
	lineBurst      = 800
	dropReport     = 5 * time.Second
)

// Ring is a bounded log writer that never blocks: lines over its rate or its length are dropped and counted.
type Ring struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	// quit ends the writer after what waits; done says that it has ended.
	quit chan struct{}
	done chan struct{}
	once sync.Once
}

// NewRing returns a started ring in front of out.
func NewRing(out io.Writer) *Ring {
	r := &Ring{
		out: out, lines: make(chan []byte, ringLines), limit: rate.NewLimiter(linesPerSecond, lineBurst),
		quit: make(chan struct{}), done: make(chan struct{}),
	}
	go r.run()
	return r
}

// Write takes one line; it never fails.
func (r *Ring) Write(line []byte) (int, error) {
	if !r.limit.Allow() {
		r.dropped.Add(1)
		return len(line), nil
	}
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (r *Ring) Dropped() int64 { return r.dropped.Load() }

// Close writes what waits, or gives up after the timeout; lines written later are lost.
func (r *Ring) Close(timeout time.Duration) {
	r.once.Do(func() { close(r.quit) })
	select {
	case <-r.done:
	case <-time.After(timeout):
	}
}

func (r *Ring) run() {
	defer close(r.done)
	told, at := int64(0), time.Now()
	for {
		select {
		case line := <-r.lines:
			// A log that can't be written has nowhere to say so.
			_, _ = r.out.Write(line)
		case <-r.quit:
			r.flush()
			return
		}
		if n := r.dropped.Load(); n > told && time.Since(at) > dropReport {
			_, _ = fmt.Fprintf(r.out, `{"level":"warning","msg":"log lines dropped","lines":%d}`+"\n", n-told)
			told, at = n, time.Now()
		}
	}
}

func (r *Ring) flush() {
	for {
		select {
		case line := <-r.lines:
			_, _ = r.out.Write(line)
		default:
			return
		}
	}
}
