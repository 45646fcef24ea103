package dialer

import (
	"bytes"
	"io"
	"strconv"
)

const (
	// maxHeadBytes bounds the bytes of an answer's head, informational answers before it included, and maxHeadLines its lines: a
	// line of a few bytes takes tens as a header.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
	// maxInformational is the maximum number of informational answers before an answer.
	maxInformational = 8
)

// HeadTooLargeError says that the head of an answer has more than Limit of Unit, which is "bytes" or "lines".
type HeadTooLargeError struct {
	Limit int
	Unit  string
}

func (e *HeadTooLargeError) Error() string {
	return "the head of the answer has more than " + strconv.Itoa(e.Limit) + " " + e.Unit + ": connection closed"
}

// headLimit passes reads on, and fails them once the head of an answer is too large. The parser of net/http has no limit of its
// own, so that an endless head would fill the memory.
type headLimit struct {
	r io.Reader
	// left is the number of bytes that the head may still have, and lines that of the lines read since it began; isActive says
	// that a head is being read.
	left, lines int
	isActive    bool
	// exceeded is set once a head is too large; the parser may return another error then, about a part of a line.
	exceeded *HeadTooLargeError
}

// begin limits what is read from now on; buffered is the number of bytes that were read already.
func (l *headLimit) begin(buffered int) {
	l.left, l.lines, l.isActive = maxHeadBytes-buffered, 0, true
}

func (l *headLimit) end() { l.isActive = false }

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.isActive {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		l.exceeded = &HeadTooLargeError{Limit: maxHeadBytes, Unit: "bytes"}
	}
	// A further read is only needed if all lines until here are the head's; those of the last read may be the body's.
	if l.lines > maxHeadLines {
		l.exceeded = &HeadTooLargeError{Limit: maxHeadLines, Unit: "lines"}
	}
	if l.exceeded != nil {
		return 0, l.exceeded
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.lines += bytes.Count(p[:n], []byte{'\n'})
	return n, err
}
