package forwarder

import (
	"fmt"
	"strings"

	"github.com/dogwoodledge/dogwoodledge/pkg/encoder"
)

// GapError says that a stream skipped tokens: token Got followed token Have.
type GapError struct {
	Have, Got int
}

// Error names both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("stream went from token %d to %d", e.Have, e.Got)
}

// AnswerTooLongError says that the text of an answer would have more than Limit bytes with token Token.
type AnswerTooLongError struct {
	Limit, Token int
}

func (e *AnswerTooLongError) Error() string {
	return fmt.Sprintf("answer has more than %d bytes of text at token %d", e.Limit, e.Token)
}

// Answer collects the events of one engine's answer and reports whether it is complete.
type Answer struct {
	First        encoder.Chunk
	Offset       int
	FinishReason string
	Usage        *encoder.Usage
	IsDone       bool

	text strings.Builder
}

// Add adds an event and reports whether it was new, because a resumed stream may repeat events.
//
// Errors: *GapError, *AnswerTooLongError.
func (a *Answer) Add(ev encoder.Event) (bool, error) {
	if ev.IsDone {
		a.IsDone = true
		return false, nil
	}
	if ev.Offset <= a.Offset {
		return false, nil
	}
	if a.Offset > 0 && ev.Offset != a.Offset+1 {
		return false, &GapError{Have: a.Offset, Got: ev.Offset}
	}
	size := a.text.Len()
	for _, c := range ev.Chunk.Choices {
		size += len(c.Delta.Content)
	}
	if size > MaxServiceAnswerBytes {
		return false, &AnswerTooLongError{Limit: MaxServiceAnswerBytes, Token: ev.Offset}
	}
	if a.Offset == 0 {
		a.First = ev.Chunk
	}
	a.Offset = ev.Offset
	for _, c := range ev.Chunk.Choices {
		a.text.WriteString(c.Delta.Content)
		if c.FinishReason != nil {
			a.FinishReason = *c.FinishReason
		}
	}
	if ev.Chunk.Usage != nil {
		a.Usage = ev.Chunk.Usage
	}
	return true, nil
}

// Text returns the text received so far.
func (a *Answer) Text() string {
	return a.text.String()
}

// IsComplete reports whether the end marker, a finish reason and as many tokens as the usage states were received.
func (a *Answer) IsComplete() bool {
	return a.IsDone && a.FinishReason != "" && a.Usage != nil && a.Usage.CompletionTokens == a.Offset
}

// Completion returns the complete answer in its form without streaming.
func (a *Answer) Completion(id string) encoder.Completion {
	return encoder.Completion{
		ID:      id,
		Object:  "chat.completion",
		Created: a.First.Created,
		Model:   a.First.Model,
		Choices: []encoder.Choice{{
			Message:      encoder.Message{Role: "assistant", Content: a.Text()},
			FinishReason: a.FinishReason,
		}},
		Usage: *a.Usage,
	}
}
