package ratelimiter

import "time"

// SharerInput is an event that a Sharer handles.
type SharerInput interface{ isSharerInput() }

// Requested is a request of an account that wants to be admitted.
type Requested struct {
	ID      uint64
	Account Account
	Peers   Peers
}

// Canceled says that the request no longer waits.
type Canceled struct{ ID uint64 }

// Answered is the answer of a coordinator.
type Answered struct {
	VM     string
	Answer Answer
}

// MeteringNotified says whether the account is metered: its requests are admitted only with a token.
type MeteringNotified struct {
	Account   string
	IsMetered bool
}

// Woken says that time has passed.
type Woken struct{}

func (Requested) isSharerInput()        {}
func (Canceled) isSharerInput()         {}
func (Answered) isSharerInput()         {}
func (MeteringNotified) isSharerInput() {}
func (Woken) isSharerInput()            {}

// SharerOutput is a decision about a request, or a message to a coordinator.
type SharerOutput interface{ isSharerOutput() }

// Admitted admits the request.
type Admitted struct{ ID uint64 }

// Refused refuses the request.
type Refused struct {
	ID         uint64
	RetryAfter time.Duration
	// IsAlone says that no coordinator was reached.
	IsAlone bool
}

// Ask sends a question to a coordinator, which may be on this VM.
type Ask struct {
	To       string
	Question Question
}

func (Admitted) isSharerOutput() {}
func (Refused) isSharerOutput()  {}
func (Ask) isSharerOutput()      {}
