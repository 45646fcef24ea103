package continuer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// maxStreams bounds the streams of a ledger; the oldest are dropped first.
const maxStreams = 1 << 16

// Stream identifies a stream by the id of the attempt that brought its first event.
type Stream uint64

// StreamOf returns the stream that the attempt with the id began.
func StreamOf(id string) Stream { return Stream(xxhash.Sum64String(id)) }

// Ambiguous stands for the software version of a stream whose endpoint changed its version under the same id.
const Ambiguous registrar.Software = 0

// Beginning is the software version that began a stream.
type Beginning struct {
	Stream   Stream
	Software registrar.Software
}

// Ledger holds the beginnings of streams of the last Memory; it is not safe for concurrent use.
type Ledger struct {
	entries map[Stream]entry
	// queue holds the streams in the order in which they were added; a stream that was added again is in it twice.
	queue     []queued
	expiredAt time.Time
}

type entry struct {
	software registrar.Software
	endpoint string
	at       time.Time
}

type queued struct {
	stream Stream
	at     time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: map[Stream]entry{}} }

// Add records a beginning; endpoint is the id of the endpoint, or empty if another VM sent to it. A stream that was begun by two
// versions is ambiguous.
func (l *Ledger) Add(now time.Time, b Beginning, endpoint string) {
	l.expire(now)
	old, ok := l.entries[b.Stream]
	if ok && old.software != b.Software {
		b.Software = Ambiguous
	}
	l.entries[b.Stream] = entry{software: b.Software, endpoint: endpoint, at: now}
	l.queue = append(l.queue, queued{b.Stream, now})
}

// Find returns the software version that began the stream, Ambiguous if it can't be told; none if the stream is unknown.
func (l *Ledger) Find(now time.Time, s Stream) option.Option[registrar.Software] {
	e, ok := l.entries[s]
	if !ok || now.Sub(e.at) >= Memory {
		return option.None[registrar.Software]()
	}
	return option.Some(e.software)
}

// Since returns the beginnings that were added after the time and by this VM.
func (l *Ledger) Since(at time.Time) []Beginning {
	var list []Beginning
	for s, e := range l.entries {
		if e.endpoint != "" && e.at.After(at) {
			list = append(list, Beginning{Stream: s, Software: e.software})
		}
	}
	return list
}

// Doubt makes the streams ambiguous that this VM began at the endpoint, and returns them.
func (l *Ledger) Doubt(endpoint string) []Beginning {
	var list []Beginning
	for s, e := range l.entries {
		if e.endpoint == endpoint && e.software != Ambiguous {
			e.software = Ambiguous
			l.entries[s] = e
			list = append(list, Beginning{Stream: s, Software: Ambiguous})
		}
	}
	return list
}

// expire drops old streams, once a second at most, and a quarter of all if there are too many.
func (l *Ledger) expire(now time.Time) {
	isFull := len(l.queue) >= maxStreams
	if now.Sub(l.expiredAt) < time.Second && !isFull {
		return
	}
	l.expiredAt = now
	n := 0
	for n < len(l.queue) && (now.Sub(l.queue[n].at) >= Memory || (isFull && n < maxStreams/4)) {
		q := l.queue[n]
		if l.entries[q.stream].at.Equal(q.at) {
			delete(l.entries, q.stream)
		}
		n++
	}
	l.queue = append(l.queue[:0], l.queue[n:]...)
}
