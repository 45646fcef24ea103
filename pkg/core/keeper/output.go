package keeper

import "time"

// Output is what a keeper wants done.
type Output interface {
	isOutput()
}

// Granted gives a slot to an online request.
type Granted struct {
	ID string
}

// Refused ends an online request's wait; nothing of it has run.
type Refused struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

// BatchStarted says to run, or to take up again, a batch item.
type BatchStarted struct {
	ID string
}

// BatchParked says to stop a batch item at once and keep the tokens that it has.
type BatchParked struct {
	ID string
}

func (Granted) isOutput()      {}
func (Refused) isOutput()      {}
func (BatchStarted) isOutput() {}
func (BatchParked) isOutput()  {}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	ReasonDeadline  Reason = "deadline can't be met"
	ReasonQueueFull Reason = "queue is full"
	ReasonLeaving   Reason = "endpoint is leaving"
)
