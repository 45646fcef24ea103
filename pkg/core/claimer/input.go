package claimer

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
)

// Input is what a claimer is told.
type Input interface {
	isInput()
}

// Arrived starts the claim.
type Arrived struct{}

// Written says that the last WriteRow took effect.
type Written struct {
	Version int64
}

// WriteLost says that nobody knows whether the last WriteRow took effect.
type WriteLost struct{}

// WriteRefused says that the last WriteRow was not sent, or had no effect for certain.
type WriteRefused struct{}

// Found is the row as read, or as it stood against a WriteRow; Version 0 means that it is absent.
type Found struct {
	Claim   Claim
	Version int64
}

// ReadFailed says that the row can't be read.
type ReadFailed struct{}

// HolderSeen says whether the VM that holds the row still works on the attempt.
type HolderSeen struct {
	IsAtWork bool
}

// AttemptEnded says how the one attempt ended.
type AttemptEnded struct {
	Outcome outcome.Outcome
	Answer  Answer
}

// Woken says that the time of NextWake has come.
type Woken struct{}

func (Arrived) isInput()      {}
func (Written) isInput()      {}
func (WriteLost) isInput()    {}
func (WriteRefused) isInput() {}
func (Found) isInput()        {}
func (ReadFailed) isInput()   {}
func (HolderSeen) isInput()   {}
func (AttemptEnded) isInput() {}
func (Woken) isInput()        {}

// Output is what a claimer wants done.
type Output interface {
	isOutput()
}

// WriteRow writes the claim if the row stands at Version.
type WriteRow struct {
	Claim   Claim
	Version int64
}

// ReadRow reads the row.
type ReadRow struct{}

// Dispatch sends the one attempt to the endpoint.
type Dispatch struct{}

// AskHolder finds out whether the VM still works on the attempt.
type AskHolder struct {
	VM      string
	Attempt string
}

// Replied ends the request with the answer of the one attempt.
type Replied struct {
	Answer Answer
}

// Refusal says why a request ended without an answer.
type Refusal string

// The refusals.
const (
	RefusedStore    Refusal = "the store can't take the claim"
	RefusedOther    Refusal = "the key was used with another request"
	RefusedInFlight Refusal = "the request is still in flight"
	RefusedUnknown  Refusal = "nobody knows whether the request ran"
	RefusedEndpoint Refusal = "the endpoint did not take the request"
)

// Refused ends the request without an answer.
type Refused struct {
	Refusal    Refusal
	Outcome    outcome.Outcome
	RetryAfter time.Duration
}

// Settle writes the claim in the background until the row says so, unless it belongs to another attempt.
type Settle struct {
	Claim Claim
}

func (WriteRow) isOutput()  {}
func (ReadRow) isOutput()   {}
func (Dispatch) isOutput()  {}
func (AskHolder) isOutput() {}
func (Replied) isOutput()   {}
func (Refused) isOutput()   {}
func (Settle) isOutput()    {}
