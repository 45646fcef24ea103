package dialer

import (
	"io"
	"strconv"
)

const (
	// maxHeadBytes bounds the bytes of an answer's head, informational answers before it included.
	maxHeadBytes = 64 << 10
	// maxInformational is the maximum number of informational answers before an answer.
	maxInformational = 8
)

// HeadTooLargeError says that the head of an answer has more than Limit bytes.
type HeadTooLargeError struct {
	Limit int
}

func (e *HeadTooLargeError) Error() string {
	return "the head of the answer has more than " + strconv.Itoa(e.Limit) + " bytes: connection closed"
}

// headLimit passes reads on, and fails them once the head of an answer is too large. The parser of net/http has no limit of its
// own, so that an endless head would fill the memory.
type headLimit struct {
	r io.Reader
	// left is the number of bytes that the head may still have; isActive says that a head is being read.
	left     int
	isActive bool
}

// begin limits what is read from now on; buffered is the number of bytes that were read already.
func (l *headLimit) begin(buffered int) {
	l.left, l.isActive = maxHeadBytes-buffered, true
}

func (l *headLimit) end() { l.isActive = false }

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.isActive {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, &HeadTooLargeError{Limit: maxHeadBytes}
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
