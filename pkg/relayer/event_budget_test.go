package relayer

import (
	"io"
	"math"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/budgeter"
)

// endlessLine is a line of left bytes that never ends: it calls onEnd and blocks once they are read, until released is closed.
type endlessLine struct {
	left     int
	onEnd    func()
	released <-chan struct{}
}

func (l *endlessLine) Read(p []byte) (int, error) {
	if l.left == 0 {
		l.onEnd()
		<-l.released
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), l.left)
	l.left -= n
	for i := range p[:n] {
		p[i] = 'x'
	}
	return n, nil
}

// TestEndlessEventsAreHeldWithinTheBudget reads an event that is just short of its limit, and has no end, for each of 200
// callers: all together hold no more than the budget of the smallest VM, and those without room end with an error that says so.
func TestEndlessEventsAreHeldWithinTheBudget(t *testing.T) {
	const callers, budget = 200, 28 << 20
	bodies := bodyreader.New(budgeter.Limits{
		Bytes: budget, SmallShare: budget / 4, SmallHold: 16 << 10, ShedAfter: time.Second, StalledAfter: time.Minute,
	})
	before, released := heapBytes(), make(chan struct{})
	atEnd, readers := sync.WaitGroup{}, sync.WaitGroup{}
	errs := make([]error, callers)
	for n := range callers {
		atEnd.Add(1)
		once := sync.OnceFunc(atEnd.Done)
		readers.Go(func() {
			defer once()
			r := NewEventReader(&endlessLine{left: maxEventBytes - 100, onEnd: once, released: released}, bodies)
			defer r.Close()
			_, errs[n] = r.Next()
		})
	}
	atEnd.Wait()
	held := heapBytes() - before
	close(released)
	readers.Wait()
	assert.Less(t, held, int64(budget), "bytes of events")
	assert.Zero(t, bodies.Held())
	cut, refused := 0, 0
	for _, err := range errs {
		noRoom := (*bodyreader.NoRoomError)(nil)
		if errors.As(err, &noRoom) {
			refused++
			continue
		}
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		cut++
	}
	assert.Positive(t, cut, "no event has room")
	assert.Positive(t, refused)
	e, err := NewEventReader(strings.NewReader("id: 0\ndata: "+strings.Repeat("x", 512<<10)+"\n\n"), bodies).Next()
	require.NoError(t, err)
	assert.Len(t, e.Data, 512<<10)
}

// heapBytes returns the bytes of the heap that are in use after a collection.
func heapBytes() int64 {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return int64(min(m.HeapAlloc, math.MaxInt64))
}
