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
	// queueLines bounds the lines that wait for a slow output, and queueBytes their length: three times that of ordinary lines.
	queueLines = 1024
	queueBytes = 1 << 20
	// linesPerSecond and lineBurst limit the rate of lines; at 300 bytes a line, that is 120 kB a second.
	linesPerSecond = 400
	lineBurst      = 800
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = 5 * time.Second
)

// LogQueue is a log writer that never blocks: it queues lines for its output, and drops and counts lines that exceed the rate
// limit or the length of the queue in lines or bytes.
type LogQueue struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	// waiting counts the bytes of the queued lines.
	waiting atomic.Int64
	// quit makes run write the queued lines and return; done is closed when run has returned.
	quit chan struct{}
	done chan struct{}
	once sync.Once
}

// NewLogQueue returns a queue that writes to out, already started.
func NewLogQueue(out io.Writer) *LogQueue {
	q := &LogQueue{
		out: out, lines: make(chan []byte, queueLines), limit: rate.NewLimiter(linesPerSecond, lineBurst),
		quit: make(chan struct{}), done: make(chan struct{}),
	}
	go q.run()
	return q
}

// Write queues one line or drops it. It never fails.
func (q *LogQueue) Write(line []byte) (int, error) {
	if !q.limit.Allow() {
		q.dropped.Add(1)
		return len(line), nil
	}
	n := int64(len(line))
	if q.waiting.Add(n) > queueBytes {
		q.waiting.Add(-n)
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.waiting.Add(-n)
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (q *LogQueue) Dropped() int64 { return q.dropped.Load() }

// Close waits until the queued lines are written, at most for the timeout. Lines written later are lost.
func (q *LogQueue) Close(timeout time.Duration) {
	q.once.Do(func() { close(q.quit) })
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}

func (q *LogQueue) run() {
	defer close(q.done)
	reported, reportedAt := int64(0), time.Now()
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-q.quit:
			q.flush()
			return
		}
		if n := q.dropped.Load(); n > reported && time.Since(reportedAt) > dropReportInterval {
			_, _ = fmt.Fprintf(q.out, `{"level":"warning","msg":"log lines dropped","lines":%d}`+"\n", n-reported)
			reported, reportedAt = n, time.Now()
		}
	}
}

func (q *LogQueue) flush() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			return
		}
	}
}

func (q *LogQueue) write(line []byte) {
	q.waiting.Add(-int64(len(line)))
	// The error is ignored: there is no other output to report it to.
	_, _ = q.out.Write(line)
}
