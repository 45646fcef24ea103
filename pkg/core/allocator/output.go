package allocator

import "time"

// Output is an action that the caller of an allocator carries out.
type Output interface {
	isOutput()
}

// Granted assigns a slot to an online request.
type Granted struct {
	ID string
}

// Refused rejects an online request; nothing of it has run.
type Refused struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

// BatchStarted starts or resumes a batch item.
type BatchStarted struct {
	ID string
}

// BatchSuspended suspends a batch item at once, keeping its tokens.
type BatchSuspended struct {
	ID string
}

func (Granted) isOutput()        {}
func (Refused) isOutput()        {}
func (BatchStarted) isOutput()   {}
func (BatchSuspended) isOutput() {}

// Reason is the reason why a request was refused.
type Reason string

// The reasons of refusals.
const (
	ReasonDeadline  Reason = "deadline can't be met"
	ReasonQueueFull Reason = "queue is full"
	ReasonLeaving   Reason = "endpoint is leaving"
)
