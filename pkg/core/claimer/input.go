package claimer

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
)

// Input is an event that a claimer handles.
type Input interface {
	isInput()
}

// Arrived starts the claim.
type Arrived struct{}

// Written says that the last WriteRow took effect.
type Written struct {
	Version int64
}

// WriteUncertain says that the outcome of the last WriteRow is unknown.
type WriteUncertain struct{}

// WriteRefused says that the last WriteRow was not sent, or certainly had no effect.
type WriteRefused struct{}

// Found is the row as read, or as found when the version check of a WriteRow failed; Version 0 means no row.
type Found struct {
	Claim   Claim
	Version int64
}

// ReadFailed says that the row can't be read.
type ReadFailed struct{}

// HolderStatus says whether the VM named in the row still works on the attempt.
type HolderStatus struct {
	IsAtWork bool
}

// AttemptEnded says how the one attempt ended.
type AttemptEnded struct {
	Outcome outcome.Outcome
	Answer  Answer
}

// Woken says that the time of NextWake has come.
type Woken struct{}

func (Arrived) isInput()        {}
func (Written) isInput()        {}
func (WriteUncertain) isInput() {}
func (WriteRefused) isInput()   {}
func (Found) isInput()          {}
func (ReadFailed) isInput()     {}
func (HolderStatus) isInput()   {}
func (AttemptEnded) isInput()   {}
func (Woken) isInput()          {}

// Output is an action that a claimer requests.
type Output interface {
	isOutput()
}

// WriteRow writes the claim if the row is at Version; Version 0 inserts it.
type WriteRow struct {
	Claim   Claim
	Version int64
}

// ReadRow reads the row.
type ReadRow struct{}

// Dispatch sends the one attempt to the endpoint.
type Dispatch struct{}

// AskHolder asks whether the VM still works on the attempt.
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

// The reasons for a refusal.
const (
	RefusedStore     Refusal = "the store can't take the claim"
	RefusedKeyReused Refusal = "the key was used with another request"
	RefusedInFlight  Refusal = "the request is still in flight"
	RefusedUnknown   Refusal = "nobody knows whether the request ran"
	RefusedEndpoint  Refusal = "the endpoint did not take the request"
)

// Refused ends the request without an answer.
type Refused struct {
	Refusal    Refusal
	Outcome    outcome.Outcome
	RetryAfter time.Duration
}

// Settle writes the claim in the background, retrying until the row holds it or belongs to another attempt.
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
